import type {EngineView} from './engine-view.js';

/** One engine as it is known. Times are monotonic milliseconds. */
type KnownEngine = {
	readonly service: string;
	readonly hasKeeper: boolean;
	/** Since when it is known with or without its keeper. */
	readonly since: number;
};

/** Engines announce themselves about once in this time, in milliseconds, and their keepers are reached soon after. */
const SETTLE_MS = 1500;

/** An engine whose keeper is not reached is waited for this long, in milliseconds. */
const MISSING_MS = 3000;

/**
 * The part of the engines that may have become known lately. After a start, and after the loss of all engines, most have, and others
 * are yet to come. Engines that are replaced one after the other stay below it: they are no reason to hold callers of models without a
 * copy, which with a quiet time that each change began anew were neither loaded nor refused for 8 s.
 */
const MOST_NEW_SHARE = 1 / 3;

const isNew = ({hasKeeper, since}: KnownEngine, now: number): boolean => now - since <= (hasKeeper ? SETTLE_MS : MISSING_MS);

/**
 * How completely the engines of a service are known. After a start engines become known one after the other, and a model
 * seems to have no copy until the engine that keeps it is heard. Looking at them too early blocks engines with loads from the
 * weight store: 1 in 100 of the credit in the laboratory's power-loss, and seconds of a whole installation's recovery.
 */
export class EngineKnowledge {
	#engines: ReadonlyMap<string, KnownEngine> = new Map();

	/** Takes all engines as they are known now. */
	update(views: readonly EngineView[], now: number): void {
		this.#engines = new Map(views.map(view => [view.upstream.id, this.#newKnown(view, now)]));
	}

	/** Whether enough of the service's engines have been known for long enough to tell which copies exist. */
	isSettled(service: string, now: number): boolean {
		const engines = [...this.#engines.values()].filter(engine => engine.service === service);
		const newCount = engines.filter(engine => isNew(engine, now)).length;
		return engines.length > 0 && newCount <= engines.length * MOST_NEW_SHARE;
	}

	#newKnown({upstream: {id, service}, isManaged: hasKeeper}: EngineView, now: number): KnownEngine {
		const known = this.#engines.get(id);
		return known?.hasKeeper === hasKeeper ? known : {service, hasKeeper, since: now};
	}
}
