import type {Ticket} from './ticket.js';
import type {TicketLimits} from './ticket-limits.js';

/** One request from its arrival to its single end. */
export type RequestRecord = {
	readonly ticket: Ticket;
	readonly limits: TicketLimits;
	/** A state of charts/request.chart.json. */
	state: string;
	attempts: number;
	attemptId: string;
	vm: string;
	/** Whether an earlier attempt may have run. */
	mayHaveRun: boolean;
	dispatchedAt: number;
};
