import type {Intent} from './intent.js';

/** A change in the making. Undo steps restore the intent if a later command of the proposal fails. */
export type Transaction = {
	readonly intent: Intent;
	/** The revision that the proposal will make. */
	readonly revision: number;
	readonly undo: Array<() => void>;
};
