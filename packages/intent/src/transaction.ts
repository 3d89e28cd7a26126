import type {Intent} from './intent.js';

/** A proposal that is being applied to the intent. Its undo steps roll the intent back if a later command of the proposal fails. */
export type Transaction = {
	readonly intent: Intent;
	/** The revision that the intent gets if the proposal succeeds. */
	readonly revision: number;
	/** Undo steps in the order of the changes; they run in reverse order. */
	readonly undo: Array<() => void>;
};
