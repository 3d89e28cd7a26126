import {existsSync, readFileSync} from 'node:fs';
import * as Schema from 'effect/Schema';
import {RESULT_CODE, ValeleadError} from '@valelead/common';
import {PATTERN_SCHEMA} from './pattern-schema.js';
import type {Pattern} from './pattern.js';

const decode = Schema.decodeUnknownSync(PATTERN_SCHEMA);

/** Reads a pattern from a JSON file, or one of the patterns that come with the laboratory by its name. */
export const readPattern = (nameOrPath: string): Pattern => {
	const path = existsSync(nameOrPath) ? nameOrPath : new URL(`../patterns/${nameOrPath}.json`, import.meta.url);
	try {
		return decode(JSON.parse(readFileSync(path, 'utf8')));
	} catch (error) {
		throw new ValeleadError(`pattern ${nameOrPath}: ${(error as Error).message}`, {code: RESULT_CODE.InvalidSettings});
	}
};
