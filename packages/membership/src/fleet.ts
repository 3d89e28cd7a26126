import type {EntryReport} from './entry-report.js';
import type {VmReport} from './vm-report.js';

/** A report and the leader's monotonic time of its arrival. */
type Received<Report> = {
	readonly report: Report;
	readonly receivedAt: number;
};

/** What the leader has heard of agents and entries. It is soft state: a new leader starts empty. */
export type Fleet = {
	readonly vms: Map<string, Received<VmReport>>;
	readonly entries: Map<string, Received<EntryReport>>;
};
