import type {Clock} from '@valelead/common';
import {
	type Capacity, type DelayedLoad, type EngineModels, type UnitNeed, getWaits, isStoreLoad,
} from '@valelead/residency';
import type {Logger} from 'pino';

type LogOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
};

/** What a delay was decided on. */
type DelayInputs = {
	readonly upstreamId: string;
	readonly capacity: Capacity;
	readonly engine: EngineModels;
	readonly needs: readonly UnitNeed[];
	/** For how long requests have waited for the model, in milliseconds. */
	readonly modelWaitMs: number;
};

/** A load that stays delayed, for the same reason or another, is told again after this time, in milliseconds; it bounds the lines of a sidecar. */
const REPEAT_MS = 1000;

/** Logs why a load that requests wait for does not begin. */
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
