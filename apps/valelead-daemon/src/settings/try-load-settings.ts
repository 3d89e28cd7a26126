import type {Logger} from 'pino';
import {loadSettings} from './load-settings.js';
import type {Settings} from './settings.js';

/** Loads a settings file. Logs the faults and returns undefined if the file is invalid. */
export const tryLoadSettings = (file: string, logger: Logger): Settings | undefined => {
	try {
		return loadSettings(file);
	} catch (error) {
		logger.warn({event: 'settings-invalid', settingsFile: file, reason: (error as Error).message}, 'settings file is invalid; keeping the current settings');
		return undefined;
	}
};
