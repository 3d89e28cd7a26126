import type {UnitReport} from './unit-report.js';

/** The heartbeat of an agent: the state of its VM. */
export type VmReport = {
	readonly vm: string;
	readonly dataCentre: string;
	readonly address: string;
	readonly incarnation: string;
	readonly upstreamIncarnation: string;
	readonly memoryBytes: number;
	readonly units: readonly UnitReport[];
	/** Ids of the grants whose memory is proved to be free. */
	readonly released: readonly string[];
	readonly isLeaving: boolean;
	readonly inProgress: number;
	readonly capacity: number;
	readonly service: string;
	/** Units whose checkpoints are stored on the VM's disk. */
	readonly cached: readonly string[];
};
