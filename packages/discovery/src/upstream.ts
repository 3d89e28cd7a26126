import type {LoadedModel} from './loaded-model.js';
import type {Run} from './run.js';
import type {UpstreamStateValue} from './upstream-state-value.js';

/** One run of an upstream, as its last announcement told. */
export type Upstream = Run & {
	/** Names the run (`getRunId`); new at each start. */
	readonly id: string;
	readonly service: string;
	/** IP number and port. */
	readonly address: string;
	readonly dataCentre: string;
	readonly state: UpstreamStateValue;
	/** Requests that it works on at once. */
	readonly slots: number;
	/** Rises with every announcement of the run; an older one that arrives late is recognised by it. */
	readonly sequence: number;
	readonly models: readonly LoadedModel[];
	readonly copiesInMemory: readonly string[];
	readonly copiesOnDisk: readonly string[];
	/** Time until it is taken away, in milliseconds; 0 where none was announced. */
	readonly remainingMs: number;
	/** Where the process that gives it orders is reached; empty where its own sidecar does. Added by the leader. */
	readonly keeperAddress: string;
};
