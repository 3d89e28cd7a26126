import type {DutyGrant} from './duty-grant.js';
import type {DutyReport} from './duty-report.js';

/** The engines that a process gives orders to, as far as the leader has a say in it. */
export type OrderLeaseExchange = {
	readonly getReport: () => DutyReport;
	readonly take: (grant: DutyGrant) => void;
};
