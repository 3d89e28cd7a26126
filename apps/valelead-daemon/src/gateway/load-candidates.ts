import {
	type LoadSite, type StoreFetch, type StoreLimit, getFetchers, isShortOfCopies, mutateStoreLimit, newStoreLimit,
} from '@valelead/residency';
import {type EngineLimits, type ModelShape, getModelShapes} from '@valelead/routing';
import type {EngineView} from './engine-view.js';
import {EngineKnowledge} from './engine-knowledge.js';
import {hasRoom} from './has-room.js';
import {newLoadCandidate} from './new-load-candidate.js';
import type {PlannerParts} from './planner-parts.js';
import type {PlacementRequest} from './placement-request.js';

/** The loads from the weight store that an engine is carrying out. */
const getFetches = ({upstream, loads}: EngineView): StoreFetch[] => loads.filter(({pace}) => pace > 0).map(({model, pace}) => ({upstreamId: upstream.id, model, pace}));

type UsableEngines = {
	readonly views: readonly EngineView[];
	/** How many models the one that keeps most copies has on its disk. */
	readonly mostCopies: number;
	/** Whether the engines of the service are known well enough to tell which copies exist. */
	readonly isSettled: boolean;
};

/** The engines as places where units could be loaded. */
export class LoadCandidates {
	readonly #parts: PlannerParts;
	readonly #knowledge = new EngineKnowledge();
	/** The engines of each service that fetch from the weight store, worked out once for all units of a turn. */
	readonly #fetchers = new Map<string, ReadonlySet<string>>();
	/** The engines of each service that take loads, likewise. */
	readonly #usable = new Map<string, UsableEngines>();
	readonly #storeLimit: StoreLimit = newStoreLimit();
	#notedAt = 0;

	constructor(parts: PlannerParts) {
		this.#parts = parts;
	}

	/** Notes which engines are known now. */
	refresh(now: number): void {
		this.#notedAt = now;
		this.#fetchers.clear();
		this.#usable.clear();
		const views = [...this.#parts.getViews().values()];
		this.#knowledge.update(views, now);
		this.#noteFetches(views);
	}

	/** Whether the engines of a service are known well enough to tell which copies exist. */
	isSettled(service: string): boolean {
		return this.#getUsable(service).isSettled;
	}

	getShape({service, model}: Pick<PlacementRequest, 'service' | 'model'>): ModelShape | undefined {
		const limits = this.#getLimits(service);
		return limits && getModelShapes(limits).get(model);
	}

	/**
	 * Engines that could load the unit. A wish for a model itself means that those which hold it do not suffice. Few engines fetch from the
	 * weight store, and none while the engines are not all known: the copy may lie on one that is not heard yet.
	 */
	getSuitable(unit: PlacementRequest): LoadSite[] {
		const {
			service, model, adapter, requiresRoom: needsRoom, requiresFewCopies: needsShortOfCopies, excludedUpstreamIds: excluded,
		} = unit;
		const {views, mostCopies, isSettled} = this.#getUsable(service);
		const needsCopy = unit.requiresCopy || !isSettled;
		const limits = this.#getLimits(service);
		return views
			.filter(view => !excluded.has(view.upstream.id))
			.filter(view => (!needsRoom || hasRoom(view, model, limits)) && (!needsShortOfCopies || isShortOfCopies(view.copiesOnDisk.length, mostCopies)))
			.map(view => newLoadCandidate(view, model, limits, mostCopies))
			.filter(site => adapter !== '' || !site.isHeld)
			.filter(site => site.hasMemoryCopy || site.hasDiskCopy || site.remainingMs !== undefined || (!needsCopy && this.#mayFetch(service, site)));
	}

	/** All engines of the unit's service that take orders and requests. */
	getAll({service, model}: Pick<PlacementRequest, 'service' | 'model'>): LoadSite[] {
		const limits = this.#getLimits(service);
		const {views, mostCopies} = this.#getUsable(service);
		return views.map(view => newLoadCandidate(view, model, limits, mostCopies));
	}

	/** The weight store is one for all services. */
	#noteFetches(views: readonly EngineView[]): void {
		const before = this.#storeLimit.atOnce;
		mutateStoreLimit(this.#storeLimit, views.flatMap(view => getFetches(view)));
		const {atOnce, fetches} = this.#storeLimit;
		if (atOnce !== before) {
			this.#parts.onStoreLimit({atOnce, before, underWay: fetches.size});
		}
	}

	/** Whether the engine fetches from the weight store; one that holds the model has no need to. */
	#mayFetch(service: string, {upstreamId, isHeld}: LoadSite): boolean {
		const fetchers = this.#fetchers.get(service) ?? this.#newFetchers(service);
		this.#fetchers.set(service, fetchers);
		return isHeld || fetchers.has(upstreamId);
	}

	#newFetchers(service: string): ReadonlySet<string> {
		const engines = this.#getKept(service).map(({upstream, copiesOnDisk}) => ({upstreamId: upstream.id, copies: copiesOnDisk.length}));
		return getFetchers(engines, this.#storeLimit.atOnce);
	}

	#getLimits(service: string): EngineLimits | undefined {
		return this.#parts.getTable()?.services.get(service)?.engine;
	}

	#getUsable(service: string): UsableEngines {
		const usable = this.#usable.get(service) ?? this.#newUsable(service);
		this.#usable.set(service, usable);
		return usable;
	}

	#newUsable(service: string): UsableEngines {
		const views = this.#getKept(service).filter(view => this.#parts.isUsable(view.upstream.id));
		const mostCopies = Math.max(...views.map(view => view.copiesOnDisk.length));
		return {views, mostCopies, isSettled: this.#knowledge.isSettled(service, this.#notedAt)};
	}

	/** The engines that some process gives orders to. */
	#getKept(service: string): EngineView[] {
		return [...this.#parts.getViews().values()].filter(view => view.isManaged && view.upstream.service === service);
	}
}
