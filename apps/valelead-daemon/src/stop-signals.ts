import process from 'node:process';
import type {Logger} from 'pino';

type SignalsParts = {
	readonly logger: Logger;
	/** Called at the second signal and each one after it. */
	readonly onRepeated: () => void;
};

/** Receives the stop signals of this process from its start on: without a handler a signal would end the process by itself. */
export class StopSignals {
	readonly #parts: SignalsParts;
	#count = 0;
	#onFirst: (() => void) | undefined;

	constructor(parts: SignalsParts) {
		this.#parts = parts;
		const handleSignal = (signal: NodeJS.Signals): void => {
			this.#handle(signal);
		};

		process.on('SIGTERM', handleSignal);
		process.on('SIGINT', handleSignal);
	}

	/** Resolves at the first signal, at once if it has come already. */
	async waitForFirst(): Promise<void> {
		return new Promise(resolve => {
			if (this.#count > 0) {
				resolve();
			} else {
				this.#onFirst = resolve;
			}
		});
	}

	#handle(signal: NodeJS.Signals): void {
		this.#count += 1;
		this.#parts.logger.info({event: 'stop-signal', signal, signals: this.#count}, 'stop signal');
		if (this.#count === 1) {
			this.#onFirst?.();
		} else {
			this.#parts.onRepeated();
		}
	}
}
