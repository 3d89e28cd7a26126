import {existsSync, readFileSync} from 'node:fs';
import * as Schema from 'effect/Schema';
import {RESULT_CODE, ValeleadError} from '@valelead/common';
import {PATTERN_SCHEMA} from './pattern-schema.js';
import type {Pattern} from './pattern.js';

const decode = Schema.decodeUnknownSync(PATTERN_SCHEMA);

/** What a file states of its own, and the pattern that the rest is taken from. */
type PatternDocument = Readonly<Record<string, unknown>> & {
	readonly extends?: string;
};

const readDocument = (nameOrPath: string): PatternDocument => {
	const path = existsSync(nameOrPath) ? nameOrPath : new URL(`../patterns/${nameOrPath}.json`, import.meta.url);
	return JSON.parse(readFileSync(path, 'utf8')) as PatternDocument;
};

/**
 * Reads a pattern from a JSON file, or one of the patterns that come with the laboratory by its name. Where the file names
 * another one under `extends`, that gives the fields which the file does not state.
 */
export const readPattern = (nameOrPath: string): Pattern => {
	try {
		const {extends: base, ...own} = readDocument(nameOrPath);
		return decode(base === undefined ? own : {...readDocument(base), ...own});
	} catch (error) {
		throw new ValeleadError(`pattern ${nameOrPath}: ${(error as Error).message}`, {code: RESULT_CODE.InvalidSettings});
	}
};
