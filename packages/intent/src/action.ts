import type * as Schema from 'effect/Schema';
import type {Transaction} from './transaction.js';

type ActionShape<Command extends Schema.Top> = {
	readonly name: string;
	readonly schema: Command;
	/** Applies a command to the intent, or throws a ValeleadError; the caller then rolls the transaction back. */
	readonly perform: (transaction: Transaction, command: Command['Type']) => void;
};

/** Returns an action as it is; the signature makes the compiler check that `perform` takes the commands of the action's schema. */
export const newAction = <Command extends Schema.Top>(action: ActionShape<Command>): ActionShape<Command> => action;
