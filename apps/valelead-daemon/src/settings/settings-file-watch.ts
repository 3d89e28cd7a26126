import {readFileSync} from 'node:fs';
import type {TimerService, TimerSubscription} from '@valelead/common';
import type {Logger} from 'pino';

type WatchParts = {
	readonly file: string;
	/** What the file held when the settings in use were read. */
	readonly text: string;
	readonly timers: TimerService;
	readonly logger: Logger;
	readonly onChange: () => void;
};

/** How often the file is looked at, in milliseconds: processes that start with the changed settings need some seconds before they ask this one. */
const CHECK_MS = 1000;

/** Notices that the settings file holds something else than before, as whoever changes it may send no signal. */
export class SettingsFileWatch {
	readonly #parts: WatchParts;
	#text: string;
	#isReadable = true;
	#checks: TimerSubscription | undefined;

	constructor(parts: WatchParts) {
		this.#parts = parts;
		this.#text = parts.text;
	}

	start(): void {
		this.#checks = this.#parts.timers.repeat(CHECK_MS, () => {
			this.#check();
		});
	}

	stop(): void {
		this.#checks?.cancel();
	}

	#check(): void {
		const text = this.#read();
		if (text !== undefined && text !== this.#text) {
			this.#text = text;
			this.#parts.onChange();
		}
	}

	/** A file that is being replaced may be missing or empty for a moment; the next look tells. */
	#read(): string | undefined {
		const {file, logger} = this.#parts;
		try {
			const text = readFileSync(file, 'utf8');
			this.#isReadable = true;
			return text === '' ? undefined : text;
		} catch (error) {
			if (this.#isReadable) {
				logger.warn({event: 'settings-unreadable', settingsFile: file, reason: (error as Error).message}, 'the settings file cannot be read; the settings in use stay');
			}

			this.#isReadable = false;
			return undefined;
		}
	}
}
