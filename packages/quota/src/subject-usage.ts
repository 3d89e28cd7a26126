import type {RateUsage} from './rate-usage.js';

/** Report of a process on one subject since its previous report. */
export type SubjectUsage = {
	readonly subject: string;
	/** Units that requests have used. */
	readonly used: number;
	/** Borrowed units that the process returns unused. */
	readonly returned: number;
	/** Units that the process wants to borrow for future requests. */
	readonly wanted: number;
	/** Cost in units of each request that waits for units, in the order in which they are served. */
	readonly needs: readonly number[];
	/** Present if the process wants a part of the subject's rate. */
	readonly rate?: RateUsage | undefined;
};
