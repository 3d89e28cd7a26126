import process from 'node:process';
import {type Clock, getNextState, loadStateChart} from '@valelead/common';
import type {Logger} from 'pino';
import {STOP_STATE} from './stop-state.js';
import type {StopStateValue} from './stop-state-value.js';

type SignalsParts = {
	readonly logger: Logger;
	readonly clock: Clock;
	/** Called when requests in progress should not be waited for any longer. */
	readonly onHurried: () => void;
};

const STOP_CHART = loadStateChart(new URL('../charts/stop.chart.json', import.meta.url));

/** An interrupt that follows another one within this time, in milliseconds, is the same key press: the terminal tells all processes, and wrappers pass it on. */
const KEY_PRESS_MS = 500;

/**
 * Receives the stop signals of this process from its start on: without a handler a signal would end the process by itself. Supervisors, wrappers and repeated
 * deployments send SIGTERM several times, so that only a person who interrupts the process again ends what is in progress.
 */
export class StopSignals {
	readonly #parts: SignalsParts;
	#state: StopStateValue = STOP_STATE.Running;
	#count = 0;
	/** When the last interrupt came, in monotonic milliseconds. */
	#interruptedAt = Number.NEGATIVE_INFINITY;
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
		const before = this.#state;
		this.#count += 1;
		if (!this.#isSameKeyPress(signal)) {
			this.#state = getNextState(STOP_CHART, before, signal) as StopStateValue;
		}

		this.#parts.logger.info({
			event: 'stop-signal', signal, signals: this.#count, state: this.#state,
		}, 'stop signal');
		if (before === STOP_STATE.Running) {
			this.#onFirst?.();
		} else if (before !== STOP_STATE.Hurried && this.#state === STOP_STATE.Hurried) {
			this.#parts.onHurried();
		}
	}

	#isSameKeyPress(signal: NodeJS.Signals): boolean {
		if (signal !== 'SIGINT') {
			return false;
		}

		const now = this.#parts.clock.now();
		const isSame = now - this.#interruptedAt < KEY_PRESS_MS;
		this.#interruptedAt = now;
		return isSame;
	}
}
