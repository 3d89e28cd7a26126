import type {ResultCodeValue} from '@valelead/common';

/** What became of a proposal. */
export type CommandResult = {
	readonly code: ResultCodeValue;
	readonly message: string;
	/** The revision that the proposal made, or the one it was refused at. */
	readonly revision: number;
};
