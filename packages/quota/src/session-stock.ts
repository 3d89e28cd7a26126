import type {SubjectStock} from './subject-stock.js';

/** What a process has borrowed in one session with one leader. */
export type SessionStock = {
	/** The leadership that lent it; -1 before the first loan. */
	term: number;
	readonly subjects: Map<string, SubjectStock>;
	/** Until when it may be used, in the borrower's own milliseconds. */
	validUntil: number;
};
