import type {OrderLeaseUpdate} from './order-lease-update.js';
import type {OrderLeaseReport} from './order-lease-report.js';

/** Exchanges order leases between a process that sends orders to engines and the leader that grants the leases. */
export type OrderLeaseExchange = {
	/** Returns what to report next. */
	readonly getReport: () => OrderLeaseReport;
	/** Applies the leases of an update of the leader. */
	readonly handleUpdate: (grant: OrderLeaseUpdate) => void;
};
