import type {DutyGrant} from './duty-grant.js';
import type {DutyReport} from './duty-report.js';

/** Exchanges order leases between a process that sends orders to engines and the leader that grants the leases. */
export type OrderLeaseExchange = {
	/** Returns what to report next. */
	readonly getReport: () => DutyReport;
	/** Applies the leases of an update of the leader. */
	readonly take: (grant: DutyGrant) => void;
};
