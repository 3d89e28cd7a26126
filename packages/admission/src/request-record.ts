import type {Ticket} from './ticket.js';
import type {RequestLimits} from './request-limits.js';

/** One request from its arrival to its single end. */
export type RequestRecord = {
	readonly request: Ticket;
	readonly limits: RequestLimits;
	/** A state of charts/request.chart.json. */
	state: string;
	attempts: number;
	attemptId: string;
	vm: string;
	/** Earlier attempts that may have run. */
	runs: number;
	dispatchedAt: number;
};
