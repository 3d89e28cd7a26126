import type * as Schema from 'effect/Schema';
import type {Transaction} from './transaction.js';

type ActionShape<Command extends Schema.Top> = {
	readonly name: string;
	readonly schema: Command;
	/** Changes the transaction, or throws a numbered error; the caller then undoes the transaction. */
	readonly perform: (transaction: Transaction, command: Command['Type']) => void;
};

/** Ties the types of an action's schema and its perform together. */
export const newAction = <Command extends Schema.Top>(action: ActionShape<Command>): ActionShape<Command> => action;
