import type {Clock, ResultCodeValue} from '@valelead/common';
import type {Logger} from 'pino';
import type {ControlCall} from '../adapter/control-call.js';

type LogParts = {
	readonly clock: Clock;
	readonly logger: Logger;
};

/** The last logged refusal of a kind of call and a result code. */
type LoggedRefusal = {
	/** When it was logged, in monotonic milliseconds. */
	at: number;
	/** Number of refusals since then that were not logged. */
	omitted: number;
};

/** Refusals of the same call and code are logged once in this time, in milliseconds, with the number omitted, as any client can cause them. */
const LOG_INTERVAL_MS = 1000;

/** Logs why calls to the control interface are refused; limits the rate of the log lines. */
export class RefusalLog {
	readonly #parts: LogParts;
	readonly #logged = new Map<string, LoggedRefusal>();

	constructor(parts: LogParts) {
		this.#parts = parts;
	}

	note(call: ControlCall, code: ResultCodeValue, reason: string): void {
		const key = `${call.kind} ${code}`;
		const now = this.#parts.clock.now();
		const previous = this.#logged.get(key);
		if (previous && now - previous.at < LOG_INTERVAL_MS) {
			previous.omitted += 1;
			return;
		}

		this.#logged.set(key, {at: now, omitted: 0});
		this.#parts.logger.warn({
			event: 'control-refused', call: call.kind, instanceId: 'instanceId' in call ? call.instanceId : undefined, code, reason, omitted: previous?.omitted ?? 0,
		}, 'control call refused');
	}
}
