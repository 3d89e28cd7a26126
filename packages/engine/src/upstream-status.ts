import type {UpstreamAbilities} from './upstream-abilities.js';
import type {UpstreamUnit} from './upstream-unit.js';

/** What an upstream announces of itself. */
export type UpstreamStatus = {
	/** New at each start of the upstream. */
	readonly incarnation: string;
	readonly memoryBytes: number;
	readonly units: readonly UpstreamUnit[];
	/** Units whose checkpoints lie on its disk. */
	readonly cached: readonly string[];
	/** The service that it offers, empty for a model engine. */
	readonly service: string;
	/** Requests that it can work on at once. */
	readonly capacity: number;
	readonly isLeaving: boolean;
	readonly abilities: UpstreamAbilities;
};
