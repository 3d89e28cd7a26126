import type * as Schema from 'effect/Schema';
import type {Draft} from './draft.js';

type ActionShape<Command extends Schema.Top> = {
	readonly name: string;
	readonly schema: Command;
	/** Changes the draft, or throws a numbered error; the caller then undoes the draft. */
	readonly perform: (draft: Draft, command: Command['Type']) => void;
};

/** Ties the types of an action's schema and its perform together. */
export const newAction = <Command extends Schema.Top>(action: ActionShape<Command>): ActionShape<Command> => action;
