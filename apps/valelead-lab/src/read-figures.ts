import {readFileSync} from 'node:fs';
import {RESULT_CODE, ValeleadError} from '@valelead/common';
import type {PlayFigures} from './play-figures.js';

/** Figures of plays by pattern, as `--save` writes them. */
type SavedFigures = Readonly<Record<string, readonly PlayFigures[]>>;

/** Reads the figures that were saved to a file; none where no file is named. */
export const readFigures = (file: string | undefined): SavedFigures => {
	if (file === undefined) {
		return {};
	}

	try {
		return JSON.parse(readFileSync(file, 'utf8')) as SavedFigures;
	} catch (error) {
		throw new ValeleadError(`figures ${file}: ${(error as Error).message}`, {code: RESULT_CODE.InvalidSettings});
	}
};
