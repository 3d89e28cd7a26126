import type {Logger} from 'pino';
import {loadSettings} from './load-settings.js';
import type {Settings} from './settings.js';

/** Reads a settings file; logs its faults and returns undefined where it has any. */
export const tryLoadSettings = (file: string, logger: Logger): Settings | undefined => {
	try {
		return loadSettings(file);
	} catch (error) {
		logger.warn({event: 'settings-invalid', settingsFile: file, reason: (error as Error).message}, 'the settings file has faults; the running settings stay');
		return undefined;
	}
};
