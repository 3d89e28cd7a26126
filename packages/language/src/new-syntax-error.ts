import {RESULT_CODE, ValeleadError} from '@valelead/common';

type Position = {
	readonly line: number;
	readonly column: number;
};

/** An error that points at a column and says what was expected there. */
export const newSyntaxError = (position: Position, found: string, expected: string): ValeleadError => new ValeleadError(
	`line ${position.line}, column ${position.column}: found ${found === '' ? 'the end' : `'${found}'`}, expected ${expected}`,
	{code: RESULT_CODE.SyntaxError},
);
