import {readFileSync} from 'node:fs';
import type {TimerService, TimerSubscription} from '@valelead/common';
import type {Logger} from 'pino';

type WatchParts = {
	readonly file: string;
	/** The text of the file when the current settings were loaded. */
	readonly text: string;
	readonly timers: TimerService;
	readonly logger: Logger;
	readonly onChange: () => void;
};

/**
 * The interval between reads of the file, in milliseconds. Processes that start with changed settings take some seconds before they contact this one.
 */
const CHECK_INTERVAL_MS = 1000;

/** Detects changes of the settings file by polling, because an operator or tool may change the file without sending a signal. */
export class SettingsFileWatch {
	readonly #parts: WatchParts;
	#text: string;
	#isReadable = true;
	#checkTimer: TimerSubscription | undefined;

	constructor(parts: WatchParts) {
		this.#parts = parts;
		this.#text = parts.text;
	}

	start(): void {
		this.#checkTimer = this.#parts.timers.repeat(CHECK_INTERVAL_MS, () => {
			this.#check();
		});
	}

	stop(): void {
		this.#checkTimer?.cancel();
	}

	#check(): void {
		const text = this.#read();
		if (text !== undefined && text !== this.#text) {
			this.#text = text;
			this.#parts.onChange();
		}
	}

	/** Returns the text of the file, or undefined if it is missing or empty, as it may be while it is replaced. The next check reads it again. */
	#read(): string | undefined {
		const {file, logger} = this.#parts;
		try {
			const text = readFileSync(file, 'utf8');
			this.#isReadable = true;
			return text === '' ? undefined : text;
		} catch (error) {
			if (this.#isReadable) {
				logger.warn({event: 'settings-unreadable', settingsFile: file, reason: (error as Error).message}, 'settings file cannot be read; keeping the current settings');
			}

			this.#isReadable = false;
			return undefined;
		}
	}
}
