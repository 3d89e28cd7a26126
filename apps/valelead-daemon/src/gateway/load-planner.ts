import {
	type LoadSite, type UnitNeed, getClassWeight, getExpectedMs, getLoadSite, getWishedReplicas,
} from '@valelead/residency';
import {type ModelShape, type RouteTable, getModelShapes} from '@valelead/routing';
import {getTarget} from './get-target.js';
import {NeedTable} from './need-table.js';
import {newLoadSite} from './new-load-site.js';
import type {EngineView} from './engine-view.js';
import type {GatewayRequest} from './gateway-request.js';
import type {WantedUnit} from './wanted-unit.js';

type PlannerParts = {
	readonly getTable: () => RouteTable | undefined;
	readonly getViews: () => ReadonlyMap<string, EngineView>;
	/** Whether requests are sent to the upstream at present. */
	readonly isUsable: (upstreamId: string) => boolean;
};

/** The requests of one model at this gateway. */
type ModelRequests = {
	readonly service: string;
	readonly model: string;
	waiting: number;
};

/** When a load is due, in milliseconds from now, and what the request counts that waits for it. */
type Urgency = {
	readonly dueInMs: number;
	readonly weight: number;
};

/** The engine that was chosen for a wish, and when the others were last compared with it, in monotonic milliseconds. */
type Choice = {
	readonly upstreamId: string;
	readonly comparedAt: number;
	/** Since when this engine is the choice. */
	readonly since: number;
	/** An engine that was chosen before and did not begin, and until when it is left out. */
	readonly avoided: Avoidance | undefined;
};

type Avoidance = {
	readonly upstreamId: string;
	readonly until: number;
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
const REPLICA_URGENCY: Urgency = {dueInMs: 3000, weight: 0.01};

/**
 * A replica is fetched from the weight store, which keeps its engine from other loads for long, only where this many
 * times the present replicas are called for.
 */
const STORE_LOAD_FACTOR = 4;

const NOWHERE: ReadonlySet<string> = new Set();

/** Requests that wait for a model to be loaded: those of all gateways as sidecars tell, and no less than the own ones. */
const getWaiting = (views: readonly EngineView[], model: string, ownWaiting: number): number => {
	const told = views.reduce((sum, view) => sum + (view.loads.find(load => load.model === model)?.waiting ?? 0), 0);
	return Math.max(told, ownWaiting);
};

const getModelRequests = (waiting: readonly GatewayRequest[], inProgress: readonly GatewayRequest[]): ModelRequests[] => {
	const models = new Map<string, ModelRequests>();
	for (const {service, head} of inProgress) {
		models.set(`${service}/${head.model}`, {service, model: head.model, waiting: 0});
	}

	for (const {service, head} of waiting) {
		const key = `${service}/${head.model}`;
		const known = models.get(key) ?? {service, model: head.model, waiting: 0};
		known.waiting += 1;
		models.set(key, known);
	}

	return [...models.values()];
};

/** Chooses the engines where models and adapters are to be loaded, for waiting requests and for busy models. */
export class LoadPlanner {
	readonly #parts: PlannerParts;
	/** The engine that was chosen for each wish. */
	#sites: Choices = new Map();
	#now = 0;

	constructor(parts: PlannerParts) {
		this.#parts = parts;
	}

	/** What each engine is needed for: requests in progress there, waiting ones that it is to load for, and more replicas. */
	getNeeds(waiting: readonly GatewayRequest[], inProgress: readonly GatewayRequest[], now: number): Map<string, UnitNeed[]> {
		const table = new NeedTable();
		const before = this.#sites;
		this.#sites = new Map();
		this.#now = now;
		for (const {upstreamId, head} of inProgress) {
			table.add(upstreamId, {
				model: head.model, adapter: head.adapter, waiting: 0, inProgress: 1, dueInMs: Number.MAX_SAFE_INTEGER, weight: 0,
			});
		}

		for (const request of waiting) {
			const {service, target, head, arrivedAt, route} = request;
			const unit = {
				service, model: head.model, adapter: head.adapter, key: target, needsCopy: false, needsRoom: false, excluded: NOWHERE,
			};
			this.#addWish(table, before, unit, {dueInMs: Math.round(arrivedAt + route.objectiveMs - now), weight: getClassWeight(route.priority)});
		}

		this.#addReplicas(table, before, waiting, inProgress);
		return table.all;
	}

	#addReplicas(table: NeedTable, before: ReadonlyMap<string, Choice>, waiting: readonly GatewayRequest[], inProgress: readonly GatewayRequest[]): void {
		for (const requests of getModelRequests(waiting, inProgress)) {
			this.#addReplicasOf(requests, table, before);
		}
	}

	/**
	 * Wishes for the replicas of one model that its requests call for and that are not loaded. A busy model may displace an
	 * idle one for one replica at a time; more go where there is room, such as on engines that have just started.
	 */
	#addReplicasOf({service, model, waiting}: ModelRequests, table: NeedTable, before: ReadonlyMap<string, Choice>): void {
		const views = [...this.#parts.getViews().values()].filter(view => view.upstream.service === service);
		const held = views.filter(view => view.models.some(other => other.name === model));
		const inProgress = held.reduce((sum, view) => sum + (view.inProgressByModel.get(model) ?? 0), 0);
		const wished = getWishedReplicas(inProgress + getWaiting(views, model, waiting));
		// Where no engine holds the model, the waiting requests have wished for the first one.
		const missing = wished - Math.max(1, held.length);
		const needsCopy = wished < held.length * STORE_LOAD_FACTOR;
		for (let index = 1; index <= missing; index += 1) {
			const needsRoom = index > 1 || held.length === 0;
			this.#addWish(table, before, {
				service, model, adapter: '', key: `replica ${index} of ${getTarget(service, model, '')}`, needsCopy, needsRoom, excluded: this.#getChosenSites(service, model),
			}, REPLICA_URGENCY);
		}
	}

	/** The engines that were chosen in this turn to load a model. */
	#getChosenSites(service: string, model: string): ReadonlySet<string> {
		const name = getTarget(service, model, '');
		return new Set([...this.#sites].filter(([key]) => key === name || key.startsWith(`${name}/`) || key.endsWith(` of ${name}`)).map(([, choice]) => choice.upstreamId));
	}

	#addWish(table: NeedTable, before: ReadonlyMap<string, Choice>, unit: WantedUnit, {dueInMs, weight}: Urgency): void {
		const choice = this.#sites.get(unit.key) ?? this.#choose(unit, before.get(unit.key));
		if (choice === undefined) {
			return;
		}

		this.#sites.set(unit.key, choice);
		table.add(choice.upstreamId, {
			model: unit.model, adapter: unit.adapter, waiting: 1, inProgress: 0, dueInMs, weight,
		});
	}

	/** The present choice, or another one where that is due and better. */
	#choose(unit: WantedUnit, known: Choice | undefined): Choice | undefined {
		if (known && this.#now - known.comparedAt < RECONSIDER_MS && this.#parts.isUsable(known.upstreamId)) {
			return known;
		}

		const avoided = this.#getAvoidance(unit, known);
		const upstreamId = this.#compare(unit, known?.upstreamId, avoided?.upstreamId);
		if (upstreamId === undefined) {
			return undefined;
		}

		const since = upstreamId === known?.upstreamId ? known.since : this.#now;
		return {
			upstreamId, comparedAt: this.#now, since, avoided,
		};
	}

	/** The engine that a wish leaves out: its present choice once that has not begun for too long, or an earlier one. */
	#getAvoidance({model}: WantedUnit, known: Choice | undefined): Avoidance | undefined {
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

	#compare(unit: WantedUnit, chosenId: string | undefined, avoidedId: string | undefined): string | undefined {
		const shape = this.#getShape(unit);
		if (!shape) {
			return undefined;
		}

		const all = this.#getSites(unit);
		const others = all.filter(site => site.upstreamId !== avoidedId);
		const sites = others.length > 0 ? others : all;
		const best = getLoadSite(unit.key, shape, sites);
		const chosen = sites.find(site => site.upstreamId === chosenId);
		if (!best || !chosen) {
			return best?.upstreamId;
		}

		const isBetter = getExpectedMs(best, shape) + SWITCH_MARGIN_MS < getExpectedMs(chosen, shape);
		return isBetter ? best.upstreamId : chosen.upstreamId;
	}

	/** Engines that could load the unit. A wish for a model itself means that those which hold it do not suffice. */
	#getSites({
		service, model, adapter, needsCopy, needsRoom, excluded,
	}: WantedUnit): LoadSite[] {
		const limits = this.#parts.getTable()?.services.get(service)?.engine;
		return [...this.#parts.getViews().values()]
			.filter(view => view.hasSidecar && view.upstream.service === service && this.#parts.isUsable(view.upstream.id))
			.map(view => newLoadSite(view, model, limits))
			.filter(site => adapter !== '' || !site.isHeld)
			.filter(site => !excluded.has(site.upstreamId) && (!needsRoom || site.hasRoom))
			.filter(site => !needsCopy || site.hasMemoryCopy || site.hasDiskCopy || site.remainingMs !== undefined);
	}

	#getShape({service, model}: WantedUnit): ModelShape | undefined {
		const engine = this.#parts.getTable()?.services.get(service)?.engine;
		return engine && getModelShapes(engine).get(model);
	}
}
