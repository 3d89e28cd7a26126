import {
	type UnitNeed, type Wait, getExpectedReadyMs, getBestLoadCandidate, getTargetReplicas,
} from '@valelead/residency';
import {getModelRequests} from './get-model-requests.js';
import {getTarget} from './get-target.js';
import {NeedTable} from './need-table.js';
import {LoadForecast} from './load-forecast.js';
import {LoadCandidates} from './load-candidates.js';
import {isOffloadReplicaMissing} from './is-offload-replica-missing.js';
import {newPlacementRequest} from './new-placement-request.js';
import {ServiceEngines} from './service-engines.js';
import type {Demand} from './demand.js';
import type {GatewayRequest} from './gateway-request.js';
import type {ModelRequests} from './model-requests.js';
import type {PlannerParts} from './planner-parts.js';
import type {PlacementRequest} from './placement-request.js';
import type {StoreReport} from './store-report.js';

/** The engine that was chosen for a placement request. Times in monotonic milliseconds. */
type Placement = {
	readonly upstreamId: string;
	/** When the other engines were last compared with this one. */
	readonly comparedAt: number;
	/** When the unit is expected to be loaded on the engine. */
	readonly expectedAt: number;
	/** When the engine was chosen. */
	readonly since: number;
	/** An engine that was chosen before and did not begin the load in time. */
	readonly exclusion: Exclusion | undefined;
};

/** An engine that is temporarily not considered for a placement request. */
type Exclusion = {
	readonly upstreamId: string;
	/** When the engine is considered again, in monotonic milliseconds. */
	readonly until: number;
};

/** An engine that was selected for a unit. */
type Selection = {
	readonly upstreamId: string;
	/** Time until the unit is expected to be loaded there, in milliseconds. */
	readonly expectedMs: number;
};

/**
 * A load is moved to another engine if the chosen one has not begun it after this time, in milliseconds, and has no idle model: requests for busy
 * models may never cease, so that none is evicted. The time is well above the wait for a few queued swaps, as the other engine may have to fetch the
 * model from the weight store.
 */
const STUCK_MS = 5000;

/** Time for which a stuck engine is excluded, in milliseconds: as long as a load from the weight store takes on another engine. */
const EXCLUSION_MS = 8000;

type Placements = Map<string, Placement>;

/** Interval at which a placement is compared with the other engines, in milliseconds; demand changes much more often. */
const RECONSIDER_MS = 200;

/** A load is moved to another engine only if that engine is expected to be ready this much earlier, in milliseconds. */
const SWITCH_MARGIN_MS = 400;

/** Urgency of one more replica of a busy model: lower than that of requests that wait for a model without a replica. */
const REPLICA_WAIT: Wait = {
	count: 1, weight: 0.01, dueInMs: 3000, leavesInMs: Number.MAX_SAFE_INTEGER,
};

/**
 * A further replica is fetched from the weight store only if the requests need at least this many times the present replicas, as a fetch blocks other
 * loads on its engine for long.
 */
const STORE_LOAD_FACTOR = 4;

/** Requests in progress from which a model counts as busy and gets an offload replica on an engine with few copies. */
const BUSY_REQUESTS = 4;

/**
 * Weight that each request in progress adds to the load of an offload replica: enough to give it priority over the loads for single late requests
 * that an engine with few copies carries out otherwise.
 */
const OFFLOAD_WEIGHT = 0.1;

/** Chooses the engines on which models and adapters are loaded, for waiting requests and for further replicas of busy models. */
export class LoadPlanner {
	readonly #parts: PlannerParts;
	/** Placements of the current planning round, by the key of their placement request. */
	#placements: Placements = new Map();
	/** Engines by service, indexed once for all models of a planning round. */
	readonly #engines = new Map<string, ServiceEngines>();
	readonly #candidates: LoadCandidates;
	readonly #forecast: LoadForecast;
	#now = 0;

	constructor(parts: PlannerParts) {
		this.#parts = parts;
		this.#candidates = new LoadCandidates(parts);
		this.#forecast = new LoadForecast(this.#candidates, parts.isLoadForecast ?? false);
	}

	/**
	 * Runs a planning round, and returns the units needed on each engine: for its requests in progress, for waiting requests whose unit is to be loaded
	 * there, and as further replicas of busy models.
	 */
	getNeeds(waiting: readonly Demand[], inProgress: readonly GatewayRequest[], now: number): Map<string, UnitNeed[]> {
		const table = new NeedTable();
		const previous = this.#placements;
		this.#placements = new Map();
		this.#now = now;
		this.#candidates.refresh(now);
		for (const {upstreamId, head} of inProgress) {
			table.add(upstreamId, {
				model: head.model, adapter: head.adapter, waiting: 0, inProgress: 1, waits: [],
			});
		}

		for (const {
			service, target, model, adapter, origin, weight, dueAt, leavesAt,
		} of waiting) {
			const request = newPlacementRequest({
				service, model, adapter, key: target, origin,
			});
			this.#place(table, previous, request, {
				count: 1, weight, dueInMs: Math.round(dueAt - now), leavesInMs: Math.round(leavesAt - now),
			});
		}

		this.#addReplicas(table, previous, waiting, inProgress);
		// Kept until the next round, the index would be promoted to the old generation of the heap, where collecting it costs more than building it anew.
		this.#engines.clear();
		return table.all;
	}

	/** What the managers of engines are told about the weight store, as of the last planning round. */
	get storeReport(): StoreReport {
		return this.#candidates.storeReport;
	}

	/** Returns the id of the upstream that was chosen to load a target; undefined if none was. */
	getChosenUpstreamId(target: string): string | undefined {
		return this.#placements.get(target)?.upstreamId;
	}

	/** Returns how many usable engines have a copy of the unit's model or have it in their load queue; the forecast is based on these. */
	getSourceCount(demand: Demand): number {
		return this.#candidates.getAll(demand).filter(engine => engine.hasDiskCopy || engine.hasMemoryCopy || engine.remainingMs !== undefined).length;
	}

	/**
	 * Returns the earliest time until a unit is loaded on some engine, in milliseconds; undefined while the engines are not all known. If the chosen
	 * engine is expected to load the unit before the caller gives up, its time is returned without a look at the other engines.
	 */
	getForecastMs(demand: Demand): number | undefined {
		const placement = this.#placements.get(demand.target);
		const isInTime = placement !== undefined && placement.expectedAt <= demand.leavesAt;
		return isInTime ? Math.max(0, placement.expectedAt - this.#now) : this.#forecast.getMs(demand, this.#now);
	}

	#addReplicas(table: NeedTable, previous: ReadonlyMap<string, Placement>, waiting: readonly Demand[], inProgress: readonly GatewayRequest[]): void {
		for (const requests of getModelRequests(waiting, inProgress)) {
			this.#addModelReplicas(requests, table, previous);
		}
	}

	/**
	 * Places the missing replicas of one model. A busy model may evict an idle one for one replica at a time; further replicas are placed only on
	 * engines with free memory, such as engines that have just started.
	 */
	#addModelReplicas({service, model, waiting}: ModelRequests, table: NeedTable, previous: ReadonlyMap<string, Placement>): void {
		const engines = this.#getEngines(service);
		const {views} = engines;
		const {replicas, inProgress, waiting: reportedWaiting} = engines.get(model);
		// The managers of engines report the waiting requests of all gateways, but their reports may not include all requests of this gateway.
		const allWaiting = Math.max(reportedWaiting, waiting);
		const targetCount = getTargetReplicas(inProgress + allWaiting, views[0]?.upstream.slots ?? 1);
		// If no engine has loaded the model, the first replica has already been placed for the waiting requests.
		const missing = targetCount - Math.max(1, replicas.length);
		if (inProgress >= BUSY_REQUESTS && isOffloadReplicaMissing(views, replicas)) {
			this.#addOffloadReplica({service, model, waiting}, table, previous, inProgress);
		}

		const requiresCopy = targetCount < replicas.length * STORE_LOAD_FACTOR;
		for (let index = 1; index <= missing; index += 1) {
			const requiresRoom = index > 1 || replicas.length === 0;
			const request = newPlacementRequest({
				service, model, adapter: '', key: `replica ${index} of ${getTarget(service, model, '')}`,
			});
			this.#place(table, previous, {
				...request, requiresCopy, requiresRoom, excludedUpstreamIds: this.#getChosenUpstreamIds(service, model),
			}, REPLICA_WAIT);
		}
	}

	#getEngines(service: string): ServiceEngines {
		const engines = this.#engines.get(service) ?? new ServiceEngines([...this.#parts.getViews().values()].filter(view => view.upstream.service === service));
		this.#engines.set(service, engines);
		return engines;
	}

	/**
	 * Places a replica of a busy model on an engine with few copies. Such an engine can serve few other models, and the memory that the model no longer
	 * needs on the other engines serves rarely used models. This is worth 1 to 2 in 100 of the score in the simulated patterns `empty-engines` and
	 * `mixed-losses`.
	 */
	#addOffloadReplica({service, model}: ModelRequests, table: NeedTable, previous: ReadonlyMap<string, Placement>, inProgress: number): void {
		const request = {
			...newPlacementRequest({
				service, model, adapter: '', key: `carrier of ${getTarget(service, model, '')}`,
			}),
			requiresFewCopies: true,
			excludedUpstreamIds: this.#getChosenUpstreamIds(service, model),
		};
		this.#place(table, previous, request, {...REPLICA_WAIT, weight: inProgress * OFFLOAD_WEIGHT});
	}

	/** Returns the ids of the upstreams that were chosen in this planning round to load a model. */
	#getChosenUpstreamIds(service: string, model: string): ReadonlySet<string> {
		const name = getTarget(service, model, '');
		return new Set([...this.#placements].filter(([key]) => key === name || key.startsWith(`${name}/`) || key.endsWith(` of ${name}`)).map(([, placement]) => placement.upstreamId));
	}

	#place(table: NeedTable, previous: ReadonlyMap<string, Placement>, request: PlacementRequest, wait: Wait): void {
		const placement = this.#placements.get(request.key) ?? this.#choosePlacement(request, previous.get(request.key));
		if (placement === undefined) {
			return;
		}

		this.#placements.set(request.key, placement);
		table.add(placement.upstreamId, {
			model: request.model, adapter: request.adapter, waiting: 1, inProgress: 0, waits: [wait], isUrgencyOrdered: this.#parts.isLoadForecast ?? false,
		});
	}

	/** Returns the current placement, or a new one if a comparison is due and another engine is better. */
	#choosePlacement(request: PlacementRequest, current: Placement | undefined): Placement | undefined {
		if (current && this.#now - current.comparedAt < RECONSIDER_MS && this.#parts.isUsable(current.upstreamId)) {
			return current;
		}

		const exclusion = this.#getExclusion(request, current);
		const selection = this.#selectEngine(request, current?.upstreamId, exclusion?.upstreamId);
		if (selection === undefined) {
			return undefined;
		}

		const {upstreamId, expectedMs} = selection;
		const isKept = upstreamId === current?.upstreamId;
		if (current && !isKept) {
			this.#parts.onPlacementChange({
				key: request.key, fromUpstreamId: current.upstreamId, toUpstreamId: upstreamId, stoodMs: this.#now - current.since, expectedMs, isStuck: exclusion?.upstreamId === current.upstreamId,
			});
		}

		const since = isKept ? current.since : this.#now;
		return {
			upstreamId, comparedAt: this.#now, expectedAt: this.#now + expectedMs, since, exclusion,
		};
	}

	/** Returns the engine to exclude: the current one if the load is stuck there, or one that was excluded earlier and still is. */
	#getExclusion({model}: PlacementRequest, current: Placement | undefined): Exclusion | undefined {
		if (!current) {
			return undefined;
		}

		const view = this.#parts.getViews().get(current.upstreamId);
		const hasBegun = view?.models.some(loaded => loaded.name === model) === true || view?.loads.some(load => load.model === model && load.isStarted) === true;
		const hasIdleModel = view?.models.some(loaded => (view.inProgressByModel.get(loaded.name) ?? 0) === 0) === true;
		if (!hasBegun && !hasIdleModel && this.#now - current.since > STUCK_MS) {
			return {upstreamId: current.upstreamId, until: this.#now + EXCLUSION_MS};
		}

		return current.exclusion && this.#now < current.exclusion.until ? current.exclusion : undefined;
	}

	/**
	 * Selects the best eligible engine. The current one is kept unless another is better by `SWITCH_MARGIN_MS`; the excluded one is used only if no
	 * other is eligible.
	 */
	#selectEngine(request: PlacementRequest, currentId: string | undefined, excludedId: string | undefined): Selection | undefined {
		const shape = this.#candidates.getShape(request);
		if (!shape) {
			return undefined;
		}

		const all = this.#candidates.getSuitable(request);
		const included = all.filter(candidate => candidate.upstreamId !== excludedId);
		const candidates = included.length > 0 ? included : all;
		const best = getBestLoadCandidate(request.key, shape, candidates);
		if (!best) {
			return undefined;
		}

		const bestMs = getExpectedReadyMs(best, shape);
		const current = candidates.find(candidate => candidate.upstreamId === currentId);
		const currentMs = current ? getExpectedReadyMs(current, shape) : Number.POSITIVE_INFINITY;
		return current && bestMs + SWITCH_MARGIN_MS >= currentMs
			? {upstreamId: current.upstreamId, expectedMs: currentMs}
			: {upstreamId: best.upstreamId, expectedMs: bestMs};
	}
}
