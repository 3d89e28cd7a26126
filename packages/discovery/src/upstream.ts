import type {Address} from '@valelead/common';
import type {LoadedModel} from './loaded-model.js';
import type {Run} from './run.js';
import type {UpstreamStateValue} from './upstream-state-value.js';

/** One run of an upstream, according to its last announcement. */
export type Upstream = Run & {
	/** The run id, as `getRunId` returns it; new at each start. */
	readonly id: string;
	readonly service: string;
	/** IP address and port; empty for an unknown run that announced its departure. Nothing connects to a run that is gone. */
	readonly address: Address;
	readonly dataCentre: string;
	/** The version of the software that the run executes, as it announces it; empty if unknown. Not the version of model weights. */
	readonly softwareVersion: string;
	readonly state: UpstreamStateValue;
	/** The number of requests that the upstream executes concurrently. */
	readonly slots: number;
	/** Increases with every announcement of the run, so that delayed older announcements can be recognised. */
	readonly sequence: number;
	readonly models: readonly LoadedModel[];
	readonly copiesInMemory: readonly string[];
	readonly copiesOnDisk: readonly string[];
	/** The time until the upstream is shut down, in milliseconds; 0 if no shutdown was announced. */
	readonly remainingMs: number;
	/** The address of the process that manages the engine; empty if the engine's own sidecar does. Added by the leader. */
	readonly keeperAddress: string;
};
