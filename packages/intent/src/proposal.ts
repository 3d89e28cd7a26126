import type {Command} from './command.js';

/** Commands that take effect together or not at all. */
export type Proposal = {
	/** Made by the sender; a resent proposal gets the first result. Empty where none is kept. */
	readonly commandId: string;
	/** The revision that the sender decided on; undefined where any will do. */
	readonly expectedRevision?: number;
	readonly commands: readonly Command[];
};
