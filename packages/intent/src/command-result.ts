import type {ResultCodeValue} from '@valelead/common';

/** The result of a proposal. */
export type CommandResult = {
	readonly code: ResultCodeValue;
	readonly message: string;
	/** The revision that the proposal created, or the current revision if the proposal was refused. */
	readonly revision: number;
};
