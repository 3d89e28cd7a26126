import type {SubjectStock} from './subject-stock.js';

/** Units that a process has borrowed in one session with one leader. */
export type SessionStock = {
	/** Term of the leader that lent the units; -1 before the first loan. */
	term: number;
	/** Units by subject. */
	readonly subjects: Map<string, SubjectStock>;
	/** When the loans expire, in monotonic milliseconds of the borrower. */
	validUntil: number;
};
