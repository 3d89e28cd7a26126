import type {UnitReport} from './unit-report.js';

/** What an agent says of its VM in a heartbeat. */
export type VmReport = {
	readonly vm: string;
	readonly dataCentre: string;
	readonly address: string;
	readonly incarnation: string;
	readonly upstreamIncarnation: string;
	readonly memoryBytes: number;
	readonly units: readonly UnitReport[];
	/** Grants whose memory is proved free. */
	readonly released: readonly string[];
	readonly isLeaving: boolean;
	readonly inProgress: number;
	readonly capacity: number;
	readonly service: string;
	/** Units whose checkpoints lie on the VM's disk. */
	readonly cached: readonly string[];
};
