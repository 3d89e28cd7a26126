import {RESULT_CODE, ValeleadError} from '@valelead/common';

type Position = {
	readonly line: number;
	readonly column: number;
};

/** Creates a syntax error that names its line and column, the input found there, and the input that was expected. */
export const newSyntaxError = (position: Position, found: string, expected: string): ValeleadError => new ValeleadError(
	`line ${position.line}, column ${position.column}: found ${found === '' ? 'the end' : `'${found}'`}, expected ${expected}`,
	{code: RESULT_CODE.SyntaxError},
);
