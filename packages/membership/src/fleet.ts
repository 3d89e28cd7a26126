import type {EntryReport} from './entry-report.js';
import type {VmReport} from './vm-report.js';

/** A report and the leader's monotonic time at which it arrived, in milliseconds. */
type Received<Report> = {
	readonly report: Report;
	readonly receivedAt: number;
};

/** The newest reports of all agents and entries that the leader has received. They are not persisted: a new leader starts without any. */
export type Fleet = {
	readonly vms: Map<string, Received<VmReport>>;
	readonly entries: Map<string, Received<EntryReport>>;
};
