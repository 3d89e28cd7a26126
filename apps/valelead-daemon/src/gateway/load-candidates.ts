import {
	type LoadCandidate, getFreeFetchers, hasFewCopies,
} from '@valelead/residency';
import {type EngineLimits, type ModelProfile, getModelProfiles} from '@valelead/routing';
import {type StreamOrigin, canContinue} from '@valelead/stream-origin';
import type {EngineView} from './engine-view.js';
import {EngineDiscovery} from './engine-discovery.js';
import {hasRoom} from './has-room.js';
import {newLoadCandidate} from './new-load-candidate.js';
import {StoreLimit} from './store-limit.js';
import type {PlannerParts} from './planner-parts.js';
import type {PlacementRequest} from './placement-request.js';
import type {StoreReport} from './store-report.js';

/** Returns the engines that may continue the streams of an origin; all of them without an origin. */
const getContinuing = (views: readonly EngineView[], origin: StreamOrigin | undefined): readonly EngineView[] =>
	origin ? views.filter(({upstream}) => canContinue(origin, upstream)) : views;

/** The engines of a service that have a manager and receive requests. */
type UsableEngines = {
	readonly views: readonly EngineView[];
	/** Largest number of copies that one of them has on its disk. */
	readonly mostCopies: number;
	/** True if enough engines of the service have been discovered to know which copies exist. */
	readonly isSettled: boolean;
};

/** Provides the engines that are candidates for loading a unit. */
export class LoadCandidates {
	readonly #parts: PlannerParts;
	readonly #knowledge = new EngineDiscovery();
	/** Ids of the engines that may fetch from the weight store, by service; computed once for all units of a planning round. */
	readonly #storeFetchers = new Map<string, ReadonlySet<string>>();
	/** Usable engines by service, also computed once for each planning round. */
	readonly #usable = new Map<string, UsableEngines>();
	readonly #storeLimit: StoreLimit;
	#refreshedAt = 0;

	constructor(parts: PlannerParts) {
		this.#parts = parts;
		this.#storeLimit = new StoreLimit({isForecast: parts.isLoadForecast ?? false, onChange: parts.onStoreLimitChange});
	}

	/** What this gateway tells the managers of engines about the weight store. */
	get storeReport(): StoreReport {
		return this.#storeLimit.report;
	}

	/** Starts a planning round with the current state of the engines. */
	refresh(now: number): void {
		this.#refreshedAt = now;
		this.#storeFetchers.clear();
		this.#usable.clear();
		const views = this.#parts.getViews();
		this.#knowledge.update([...views.values()], now);
		this.#storeLimit.update(views);
	}

	/** True if enough engines of the service have been discovered to know which copies exist. */
	isSettled(service: string): boolean {
		return this.#getUsable(service).isSettled;
	}

	/** Returns the memory sizes and load times of a model; undefined if the model is not configured. */
	getShape({service, model}: Pick<PlacementRequest, 'service' | 'model'>): ModelProfile | undefined {
		const limits = this.#getLimits(service);
		return limits && getModelProfiles(limits).get(model);
	}

	/**
	 * Returns the engines that are eligible to load the unit. Engines that have loaded a model are not eligible for the model itself: it is requested
	 * because they do not suffice. An engine without a copy would fetch the model from the weight store: only selected engines may do so, and none
	 * while not all engines are known, as an engine that is still to be discovered may have a copy.
	 */
	getSuitable(request: PlacementRequest): LoadCandidate[] {
		const {
			service, model, adapter, origin, requiresRoom, requiresFewCopies, excludedUpstreamIds,
		} = request;
		const {views, mostCopies, isSettled} = this.#getUsable(service);
		const requiresCopy = request.requiresCopy || !isSettled;
		const limits = this.#getLimits(service);
		return getContinuing(views, origin)
			.filter(view => !excludedUpstreamIds.has(view.upstream.id))
			.filter(view => (!requiresRoom || hasRoom(view, model, limits)) && (!requiresFewCopies || hasFewCopies(view.copiesOnDisk.length, mostCopies)))
			.map(view => newLoadCandidate(view, model, limits, mostCopies))
			.filter(candidate => adapter !== '' || !candidate.isLoaded)
			.filter(engine => engine.hasMemoryCopy || engine.hasDiskCopy || engine.remainingMs !== undefined || (!requiresCopy && this.#isFetchAllowed(service, engine)));
	}

	/** Returns all usable engines that may serve the unit's requests, eligible to load it or not. */
	getAll({service, model, origin}: Pick<PlacementRequest, 'service' | 'model' | 'origin'>): LoadCandidate[] {
		const limits = this.#getLimits(service);
		const {views, mostCopies} = this.#getUsable(service);
		return getContinuing(views, origin).map(view => newLoadCandidate(view, model, limits, mostCopies));
	}

	/** True if the engine may fetch the model from the weight store, or has loaded the model and need not fetch it. */
	#isFetchAllowed(service: string, {upstreamId, isLoaded}: LoadCandidate): boolean {
		const storeFetchers = this.#storeFetchers.get(service) ?? this.#newStoreFetchers(service);
		this.#storeFetchers.set(service, storeFetchers);
		return isLoaded || storeFetchers.has(upstreamId);
	}

	#newStoreFetchers(service: string): ReadonlySet<string> {
		const engines = this.#getManaged(service).map(({upstream, copiesOnDisk}) => ({upstreamId: upstream.id, copies: copiesOnDisk.length}));
		return getFreeFetchers(engines, this.#storeLimit.maxFetches, this.#storeLimit.fetchingIds);
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
		const views = this.#getManaged(service).filter(view => this.#parts.isUsable(view.upstream.id));
		const mostCopies = Math.max(...views.map(view => view.copiesOnDisk.length));
		return {views, mostCopies, isSettled: this.#knowledge.isSettled(service, this.#refreshedAt)};
	}

	/** Returns the engines of a service whose manager is connected. */
	#getManaged(service: string): EngineView[] {
		return [...this.#parts.getViews().values()].filter(view => view.isManaged && view.upstream.service === service);
	}
}
