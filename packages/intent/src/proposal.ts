import type {Command} from './command.js';

/** A list of commands that take effect together or not at all. */
export type Proposal = {
	/** Id chosen by the sender. A resent proposal with the same id gets the first result; with an empty id no result is kept. */
	readonly commandId: string;
	/** The revision on which the sender based the proposal; undefined if the proposal applies to any revision. */
	readonly expectedRevision?: number;
	readonly commands: readonly Command[];
};
