import type {UpstreamAbilities} from './upstream-abilities.js';
import type {UpstreamUnit} from './upstream-unit.js';

/** The status that an upstream reports about itself. */
export type UpstreamStatus = {
	/** Identifies one run of the upstream; it changes at each start. */
	readonly incarnation: string;
	readonly memoryBytes: number;
	readonly units: readonly UpstreamUnit[];
	/** Units whose checkpoints are on the upstream's local disk. */
	readonly cached: readonly string[];
	/** The name of the service that the upstream offers; empty for a model engine. */
	readonly service: string;
	/** Number of requests that the upstream can process concurrently. */
	readonly capacity: number;
	readonly isLeaving: boolean;
	readonly abilities: UpstreamAbilities;
};
