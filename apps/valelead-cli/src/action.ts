import type {CommonOptions} from './common-options.js';
import type {Connection} from './connection.js';

/** Connection, options and output functions that an action uses. */
type ActionContext = {
	readonly connection: Connection;
	readonly options: CommonOptions;
	/** Prints the output of the action. */
	readonly print: (text: string) => void;
	/** Prints progress messages, separately from the output of the action. */
	readonly printProgress: (text: string) => void;
};

/** One action of the command-line tool. */
export type Action<Parameters> = {
	readonly name: string;
	readonly perform: (context: ActionContext, parameters: Parameters) => Promise<void>;
};
