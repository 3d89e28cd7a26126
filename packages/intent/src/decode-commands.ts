import {RESULT_CODE, ValeleadError} from '@valelead/common';
import * as Schema from 'effect/Schema';
import {COMMAND_SCHEMA} from './command-schema.js';
import type {Command} from './command.js';

const decode = Schema.decodeUnknownSync(Schema.Array(COMMAND_SCHEMA));

/** Parses and validates commands from JSON. Throws a ValeleadError whose message lists the faults. */
export const decodeCommands = (text: string): readonly Command[] => {
	try {
		return decode(JSON.parse(text), {errors: 'all', onExcessProperty: 'error'});
	} catch (error) {
		throw new ValeleadError(`The commands are not valid: ${(error as Error).message}`, {code: RESULT_CODE.InvalidCommand});
	}
};
