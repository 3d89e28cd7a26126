import type {Clock} from '@valelead/common';
import {
	type Capacity, type DelayedLoad, type EngineModels, type UnitNeed, getWaits, isStoreLoad,
} from '@valelead/residency';
import type {Logger} from 'pino';

type LogOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
};

/** The state on which the decision to delay a load was based. */
type DelayInputs = {
	readonly upstreamId: string;
	readonly capacity: Capacity;
	readonly engine: EngineModels;
	readonly needs: readonly UnitNeed[];
	/** How long requests have been waiting for the model, in milliseconds. */
	readonly modelWaitMs: number;
};

/** The minimum time between two log lines about delayed loads, in milliseconds. It limits the log volume of a process. */
const REPEAT_MS = 1000;

/** Logs why a load does not begin although requests are waiting for the model. */
export class LoadDelayLog {
	readonly #parts: LogOptions;
	#logged: DelayedLoad | undefined;
	#loggedAt = Number.NEGATIVE_INFINITY;

	constructor(parts: LogOptions) {
		this.#parts = parts;
	}

	note(load: DelayedLoad, {upstreamId, capacity, engine, needs, modelWaitMs}: DelayInputs): void {
		const now = this.#parts.clock.now();
		if (now - this.#loggedAt < REPEAT_MS) {
			return;
		}

		const isSame = this.#logged?.model === load.model && this.#logged.reason === load.reason;
		this.#logged = load;
		this.#loggedAt = now;
		const waits = getWaits(needs, load.model);
		this.#parts.logger.info({
			event: 'load-delayed',
			upstreamId,
			model: load.model,
			reason: load.reason,
			isRepeated: isSame,
			isStoreLoad: isStoreLoad(capacity, engine, load.model),
			waiting: waits.reduce((sum, wait) => sum + wait.count, 0),
			wantedMs: Math.round(modelWaitMs),
			dueInMs: Math.round(Math.min(...waits.map(wait => wait.dueInMs))),
			held: engine.models.map(({name}) => ({
				name,
				inProgress: needs.filter(need => need.model === name).reduce((sum, need) => sum + need.inProgress, 0),
				waiting: needs.filter(need => need.model === name).reduce((sum, need) => sum + need.waiting, 0),
			})),
		}, 'load delayed');
	}
}
