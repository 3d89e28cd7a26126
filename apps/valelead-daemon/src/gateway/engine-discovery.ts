import type {EngineView} from './engine-view.js';

/** An engine that the gateway has discovered. Times are monotonic milliseconds. */
type KnownEngine = {
	readonly service: string;
	readonly isManaged: boolean;
	/** When the engine was discovered, or when its manager was last reached or lost. */
	readonly since: number;
};

/** An engine counts as new for this time after its manager was reached, in milliseconds. Engines announce themselves about once in this time. */
const SETTLE_MS = 1500;

/** An engine whose manager is not reached counts as new for this time, in milliseconds. */
const UNMANAGED_MS = 3000;

/**
 * Largest share of new engines at which discovery still counts as complete. After a start of the gateway, and after the loss of all engines, most
 * engines are new and more are yet to be discovered. In a rolling replacement fewer engines are new, and requests for models without a copy must not
 * wait for its end: with a settling period that restarted at each change, such models were neither loaded nor their requests refused for 8 s.
 */
const MAX_NEW_SHARE = 1 / 3;

const isNew = ({isManaged, since}: KnownEngine, now: number): boolean => now - since <= (isManaged ? SETTLE_MS : UNMANAGED_MS);

/**
 * Tracks whether the gateway has discovered enough engines of a service to know which copies of models exist. After a start, engines are discovered
 * one by one, and a model seems to have no copy until the engine that keeps its copy is discovered. Decisions before that point occupy engines with
 * needless loads from the weight store, which costs 1 in 100 of the score in the simulated pattern `power-loss` and delays the recovery of a whole
 * installation by seconds.
 */
export class EngineDiscovery {
	#engines: ReadonlyMap<string, KnownEngine> = new Map();

	/** Replaces the set of known engines. */
	update(views: readonly EngineView[], now: number): void {
		this.#engines = new Map(views.map(view => [view.upstream.id, this.#newKnownEngine(view, now)]));
	}

	/** True if at most a third of the service's engines are new, so that the existing copies are known. */
	isSettled(service: string, now: number): boolean {
		const engines = [...this.#engines.values()].filter(engine => engine.service === service);
		const newCount = engines.filter(engine => isNew(engine, now)).length;
		return engines.length > 0 && newCount <= engines.length * MAX_NEW_SHARE;
	}

	#newKnownEngine({upstream: {id, service}, isManaged}: EngineView, now: number): KnownEngine {
		const known = this.#engines.get(id);
		return known?.isManaged === isManaged ? known : {service, isManaged, since: now};
	}
}
