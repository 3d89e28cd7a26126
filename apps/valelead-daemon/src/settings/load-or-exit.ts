import process from 'node:process';
import {RESULT_CODE} from '@valelead/common';
import {loadSettings} from './load-settings.js';
import type {Settings} from './settings.js';

/** Reads a settings file, or prints its faults and ends the process. */
export const loadOrExit = (file: string): Settings => {
	try {
		return loadSettings(file);
	} catch (error) {
		process.stderr.write(`${(error as Error).message}\n`);
		process.exit(RESULT_CODE.InvalidSettings % 256); // eslint-disable-line unicorn/no-process-exit -- there is nothing to run
	}
};
