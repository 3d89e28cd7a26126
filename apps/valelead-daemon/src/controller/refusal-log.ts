import type {Clock, ResultCodeValue} from '@valelead/common';
import type {Logger} from 'pino';
import type {ControlCall} from '../adapter/control-call.js';

type LogParts = {
	readonly clock: Clock;
	readonly logger: Logger;
};

type Told = {
	at: number;
	/** Refusals since that were not told. */
	omitted: number;
};

/** Refusals of the same kind and code are told once in this time, in milliseconds, with the number of those between: anyone may cause them. */
const REPEAT_MS = 1000;

/** Logs why calls to the control interface are refused, in a bounded number of lines. */
export class RefusalLog {
	readonly #parts: LogParts;
	readonly #told = new Map<string, Told>();

	constructor(parts: LogParts) {
		this.#parts = parts;
	}

	note(call: ControlCall, code: ResultCodeValue, reason: string): void {
		const key = `${call.kind} ${code}`;
		const now = this.#parts.clock.now();
		const told = this.#told.get(key);
		if (told && now - told.at < REPEAT_MS) {
			told.omitted += 1;
			return;
		}

		this.#told.set(key, {at: now, omitted: 0});
		this.#parts.logger.warn({
			event: 'control-refused', call: call.kind, instanceId: 'instanceId' in call ? call.instanceId : undefined, code, reason, omitted: told?.omitted ?? 0,
		}, 'control call refused');
	}
}
