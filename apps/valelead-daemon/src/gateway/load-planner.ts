import {
	type UnitNeed, type Wait, getExpectedMs, getLoadSite, getWishedReplicas,
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

/** The engine that was chosen for a wish, and when the others were last compared with it, in monotonic milliseconds. */
type Choice = {
	readonly upstreamId: string;
	readonly comparedAt: number;
	/** When the unit was expected to be loaded there, in monotonic milliseconds. */
	readonly expectedAt: number;
	/** Since when this engine is the choice. */
	readonly since: number;
	/** An engine that was chosen before and did not begin, and until when it is left out. */
	readonly avoided: Avoidance | undefined;
};

type Avoidance = {
	readonly upstreamId: string;
	readonly until: number;
};

/** An engine, and until it is expected to have the unit loaded, in milliseconds. */
type Candidate = {
	readonly upstreamId: string;
	readonly expectedMs: number;
};

/**
 * An engine that has not begun a load after this time, and all models of which are in use, is left for another one, in
 * milliseconds: callers of a busy model may never cease. Well above the wait for some swaps that are queued there, as the
 * other engine may have to fetch the model from the weight store.
 */
const STUCK_MS = 5000;

/** How long it is left out then, in milliseconds: as long as a load from the weight store takes elsewhere. */
const AVOID_MS = 8000;

type Choices = Map<string, Choice>;

/** A choice is compared with the other engines this often, in milliseconds; demand changes much more often. */
const RECONSIDER_MS = 200;

/** Another engine is chosen only where it is expected to be ready this much sooner, in milliseconds. */
const SWITCH_MARGIN_MS = 400;

/** How soon one more replica of a busy model is wanted: after the requests that wait for a cold one. */
const REPLICA_WAIT: Wait = {
	count: 1, weight: 0.01, dueInMs: 3000, leavesInMs: Number.MAX_SAFE_INTEGER,
};

/**
 * A replica is fetched from the weight store, which keeps its engine from other loads for long, only where this many
 * times the present replicas are called for.
 */
const STORE_LOAD_FACTOR = 4;

/** Requests in progress from which a model is busy enough to be carried by an engine that keeps few copies. */
const BUSY_REQUESTS = 4;

/**
 * What each request in progress adds to the wish to carry its model there: enough to go before the loads for single late
 * requests that such an engine has to do otherwise.
 */
const CARRY_WEIGHT = 0.1;

/** Chooses the engines where models and adapters are to be loaded, for waiting requests and for busy models. */
export class LoadPlanner {
	readonly #parts: PlannerParts;
	/** The engine that was chosen for each wish. */
	#sites: Choices = new Map();
	/** The engines of each service, looked through once for all models of a turn. */
	readonly #engines = new Map<string, ServiceEngines>();
	readonly #loadSites: LoadCandidates;
	readonly #forecast: LoadForecast;
	#now = 0;

	constructor(parts: PlannerParts) {
		this.#parts = parts;
		this.#loadSites = new LoadCandidates(parts);
		this.#forecast = new LoadForecast(this.#loadSites);
	}

	/** What each engine is needed for: requests in progress there, waiting ones that it is to load for, and more replicas. */
	getNeeds(waiting: readonly Demand[], inProgress: readonly GatewayRequest[], now: number): Map<string, UnitNeed[]> {
		const table = new NeedTable();
		const before = this.#sites;
		this.#sites = new Map();
		this.#now = now;
		this.#loadSites.refresh(now);
		for (const {upstreamId, head} of inProgress) {
			table.add(upstreamId, {
				model: head.model, adapter: head.adapter, waiting: 0, inProgress: 1, waits: [],
			});
		}

		for (const {
			service, target, model, adapter, weight, dueAt, leavesAt,
		} of waiting) {
			const unit = newPlacementRequest({
				service, model, adapter, key: target,
			});
			this.#addWish(table, before, unit, {
				count: 1, weight, dueInMs: Math.round(dueAt - now), leavesInMs: Math.round(leavesAt - now),
			});
		}

		this.#addReplicas(table, before, waiting, inProgress);
		// Held until the next turn it would survive the collection of young objects, and cost more than it took to make.
		this.#engines.clear();
		return table.all;
	}

	/** The engine that was chosen to load a target. */
	getChosenUpstreamId(target: string): string | undefined {
		return this.#sites.get(target)?.upstreamId;
	}

	/** How many usable engines keep a copy of a unit's model, or have it in their queue: what a forecast rests on. */
	getSourceCount(demand: Demand): number {
		return this.#loadSites.getAll(demand).filter(site => site.hasDiskCopy || site.hasMemoryCopy || site.remainingMs !== undefined).length;
	}

	/**
	 * Until a unit is loaded somewhere at the soonest, in milliseconds; undefined while the engines are not all known. Where
	 * the chosen engine is expected to have it before the caller leaves, the others are not looked at.
	 */
	getForecastMs(demand: Demand): number | undefined {
		const choice = this.#sites.get(demand.target);
		const isInTime = choice !== undefined && choice.expectedAt <= demand.leavesAt;
		return isInTime ? Math.max(0, choice.expectedAt - this.#now) : this.#forecast.getMs(demand, this.#now);
	}

	#addReplicas(table: NeedTable, before: ReadonlyMap<string, Choice>, waiting: readonly Demand[], inProgress: readonly GatewayRequest[]): void {
		for (const requests of getModelRequests(waiting, inProgress)) {
			this.#addReplicasOf(requests, table, before);
		}
	}

	/**
	 * Wishes for the replicas of one model that its requests call for and that are not loaded. A busy model may displace an
	 * idle one for one replica at a time; more go where there is room, such as on engines that have just started.
	 */
	#addReplicasOf({service, model, waiting}: ModelRequests, table: NeedTable, before: ReadonlyMap<string, Choice>): void {
		const engines = this.#getEngines(service);
		const {views} = engines;
		const {held, inProgress, waiting: told} = engines.get(model);
		// Those of all gateways as sidecars tell, and no less than the own ones.
		const allWaiting = Math.max(told, waiting);
		const wished = getWishedReplicas(inProgress + allWaiting, views[0]?.upstream.slots ?? 1);
		// Where no engine holds the model, the waiting requests have wished for the first one.
		const missing = wished - Math.max(1, held.length);
		if (inProgress >= BUSY_REQUESTS && isOffloadReplicaMissing(views, held)) {
			this.#addCarrier({service, model, waiting}, table, before, inProgress);
		}

		const needsCopy = wished < held.length * STORE_LOAD_FACTOR;
		for (let index = 1; index <= missing; index += 1) {
			const needsRoom = index > 1 || held.length === 0;
			const unit = newPlacementRequest({
				service, model, adapter: '', key: `replica ${index} of ${getTarget(service, model, '')}`,
			});
			this.#addWish(table, before, {
				...unit, requiresCopy: needsCopy, requiresRoom: needsRoom, excludedUpstreamIds: this.#getChosenSites(service, model),
			}, REPLICA_WAIT);
		}
	}

	#getEngines(service: string): ServiceEngines {
		const known = this.#engines.get(service) ?? new ServiceEngines([...this.#parts.getViews().values()].filter(view => view.upstream.service === service));
		this.#engines.set(service, known);
		return known;
	}

	/**
	 * Wishes for a replica of a busy model on an engine that keeps few copies: such an engine can do little else, and the
	 * places that the model leaves on the others serve models that are asked for now and then. In the laboratory's
	 * empty-engines and mixed-losses 1 to 2 in 100 of the credit.
	 */
	#addCarrier({service, model}: ModelRequests, table: NeedTable, before: ReadonlyMap<string, Choice>, inProgress: number): void {
		const unit = {
			...newPlacementRequest({
				service, model, adapter: '', key: `carrier of ${getTarget(service, model, '')}`,
			}),
			needsShortOfCopies: true,
			excluded: this.#getChosenSites(service, model),
		};
		this.#addWish(table, before, unit, {...REPLICA_WAIT, weight: inProgress * CARRY_WEIGHT});
	}

	/** The engines that were chosen in this turn to load a model. */
	#getChosenSites(service: string, model: string): ReadonlySet<string> {
		const name = getTarget(service, model, '');
		return new Set([...this.#sites].filter(([key]) => key === name || key.startsWith(`${name}/`) || key.endsWith(` of ${name}`)).map(([, choice]) => choice.upstreamId));
	}

	#addWish(table: NeedTable, before: ReadonlyMap<string, Choice>, unit: PlacementRequest, wait: Wait): void {
		const choice = this.#sites.get(unit.key) ?? this.#choose(unit, before.get(unit.key));
		if (choice === undefined) {
			return;
		}

		this.#sites.set(unit.key, choice);
		table.add(choice.upstreamId, {
			model: unit.model, adapter: unit.adapter, waiting: 1, inProgress: 0, waits: [wait],
		});
	}

	/** The present choice, or another one where that is due and better. */
	#choose(unit: PlacementRequest, known: Choice | undefined): Choice | undefined {
		if (known && this.#now - known.comparedAt < RECONSIDER_MS && this.#parts.isUsable(known.upstreamId)) {
			return known;
		}

		const avoided = this.#getAvoidance(unit, known);
		const candidate = this.#compare(unit, known?.upstreamId, avoided?.upstreamId);
		if (candidate === undefined) {
			return undefined;
		}

		const {upstreamId, expectedMs} = candidate;
		const isKept = upstreamId === known?.upstreamId;
		if (known && !isKept) {
			this.#parts.onSiteChange({
				key: unit.key, fromUpstreamId: known.upstreamId, toUpstreamId: upstreamId, stoodMs: this.#now - known.since, expectedMs, isStuck: avoided?.upstreamId === known.upstreamId,
			});
		}

		const since = isKept ? known.since : this.#now;
		return {
			upstreamId, comparedAt: this.#now, expectedAt: this.#now + expectedMs, since, avoided,
		};
	}

	/** The engine that a wish leaves out: its present choice once that has not begun for too long, or an earlier one. */
	#getAvoidance({model}: PlacementRequest, known: Choice | undefined): Avoidance | undefined {
		if (!known) {
			return undefined;
		}

		const view = this.#parts.getViews().get(known.upstreamId);
		const hasBegun = view?.models.some(held => held.name === model) === true || view?.loads.some(load => load.model === model && load.isStarted) === true;
		const hasPlace = view?.models.some(held => (view.inProgressByModel.get(held.name) ?? 0) === 0) === true;
		if (!hasBegun && !hasPlace && this.#now - known.since > STUCK_MS) {
			return {upstreamId: known.upstreamId, until: this.#now + AVOID_MS};
		}

		return known.avoided && this.#now < known.avoided.until ? known.avoided : undefined;
	}

	#compare(unit: PlacementRequest, chosenId: string | undefined, avoidedId: string | undefined): Candidate | undefined {
		const shape = this.#loadSites.getShape(unit);
		if (!shape) {
			return undefined;
		}

		const all = this.#loadSites.getSuitable(unit);
		const others = all.filter(site => site.upstreamId !== avoidedId);
		const sites = others.length > 0 ? others : all;
		const best = getLoadSite(unit.key, shape, sites);
		if (!best) {
			return undefined;
		}

		const bestMs = getExpectedMs(best, shape);
		const chosen = sites.find(site => site.upstreamId === chosenId);
		const chosenMs = chosen ? getExpectedMs(chosen, shape) : Number.POSITIVE_INFINITY;
		return chosen && bestMs + SWITCH_MARGIN_MS >= chosenMs
			? {upstreamId: chosen.upstreamId, expectedMs: chosenMs}
			: {upstreamId: best.upstreamId, expectedMs: bestMs};
	}
}
