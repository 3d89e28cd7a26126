import {readFileSync} from 'node:fs';
import {RESULT_CODE, ValeleadError} from '@valelead/common';
import {checkSettings} from './check-settings.js';
import type {Settings} from './settings.js';

const parse = (file: string): unknown => {
	try {
		return JSON.parse(readFileSync(file, 'utf8'));
	} catch (error) {
		throw new ValeleadError(`${file}: ${(error as Error).message}`, {code: RESULT_CODE.InvalidSettings});
	}
};

/** Loads and checks a settings file. Throws an InvalidSettings error that lists every fault. */
export const loadSettings = (file: string): Settings => {
	const {settings, faults} = checkSettings(parse(file));
	if (!settings) {
		const lines = faults.map(fault => `${fault.path}: found ${fault.found}; ${fault.allowed}`);
		throw new ValeleadError([`${file} has ${faults.length} faults:`, ...lines].join('\n'), {code: RESULT_CODE.InvalidSettings});
	}

	return settings;
};
