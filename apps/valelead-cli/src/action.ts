import type {CommonOptions} from './common-options.js';
import type {Connection} from './connection.js';

/** What an action works with. */
type ActionContext = {
	readonly connection: Connection;
	readonly options: CommonOptions;
	readonly print: (text: string) => void;
	/** Where progress goes, apart from the output. */
	readonly printProgress: (text: string) => void;
};

/** One action of the command-line tool. */
export type Action<Parameters> = {
	readonly name: string;
	readonly perform: (context: ActionContext, parameters: Parameters) => Promise<void>;
};
