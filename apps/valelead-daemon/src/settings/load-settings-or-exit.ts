import process from 'node:process';
import {RESULT_CODE} from '@valelead/common';
import {loadSettings} from './load-settings.js';
import type {Settings} from './settings.js';

/** Loads a settings file. Prints the faults and exits the process if the file is invalid. */
export const loadSettingsOrExit = (file: string): Settings => {
	try {
		return loadSettings(file);
	} catch (error) {
		process.stderr.write(`${(error as Error).message}\n`);
		process.exit(RESULT_CODE.InvalidSettings % 256); // eslint-disable-line unicorn/no-process-exit -- there is nothing to run
	}
};
