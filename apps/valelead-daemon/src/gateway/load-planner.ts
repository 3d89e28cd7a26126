import {
	type LoadSite, type UnitNeed, getExpectedMs, getLoadSite, getWishedReplicas,
} from '@valelead/residency';
import type {ModelShape, RouteTable} from '@valelead/routing';
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

/** Another engine is chosen only where it is expected to be ready this much sooner, in milliseconds. */
const SWITCH_MARGIN_MS = 400;

/** How soon one more replica of a busy model is wanted, in milliseconds: after the requests that wait for a cold one. */
const REPLICA_DUE_MS = 3000;

/**
 * A replica is fetched from the weight store, which keeps its engine from other loads for long, only where this many
 * times the present replicas are called for.
 */
const STORE_LOAD_FACTOR = 4;

/** Chooses the engines where models and adapters are to be loaded, for waiting requests and for busy models. */
export class LoadPlanner {
	readonly #parts: PlannerParts;
	/** The engine that was chosen for each wish. */
	#sites = new Map<string, string>();

	constructor(parts: PlannerParts) {
		this.#parts = parts;
	}

	/** What each engine is needed for: requests in progress there, waiting ones that it is to load for, and more replicas. */
	getNeeds(waiting: readonly GatewayRequest[], inProgress: readonly GatewayRequest[], now: number): Map<string, UnitNeed[]> {
		const table = new NeedTable();
		const before = this.#sites;
		this.#sites = new Map();
		for (const {upstreamId, head} of inProgress) {
			table.add(upstreamId, {
				model: head.model, adapter: head.adapter, waiting: 0, inProgress: 1, dueInMs: Number.MAX_SAFE_INTEGER,
			});
		}

		for (const request of waiting) {
			const {service, target, head, arrivedAt, route} = request;
			const unit = {
				service, model: head.model, adapter: head.adapter, key: target, needsCopy: false,
			};
			this.#addWish(table, before, unit, Math.round(arrivedAt + route.objectiveMs - now));
		}

		this.#addReplicas(table, before, inProgress);
		return table.all;
	}

	#addReplicas(table: NeedTable, before: ReadonlyMap<string, string>, inProgress: readonly GatewayRequest[]): void {
		const models = new Map(inProgress.map(request => [`${request.service}/${request.head.model}`, request]));
		for (const [key, {service, head}] of models) {
			const views = [...this.#parts.getViews().values()].filter(view => view.upstream.service === service);
			const held = views.filter(view => view.models.some(model => model.name === head.model));
			const total = held.reduce((sum, view) => sum + (view.inProgressByModel.get(head.model) ?? 0), 0);
			if (held.length > 0 && getWishedReplicas(total) > held.length) {
				this.#addWish(table, before, {
					service, model: head.model, adapter: '', key: `replica of ${key}`, needsCopy: getWishedReplicas(total) < held.length * STORE_LOAD_FACTOR,
				}, REPLICA_DUE_MS);
			}
		}
	}

	#addWish(table: NeedTable, before: ReadonlyMap<string, string>, unit: WantedUnit, dueInMs: number): void {
		const site = this.#sites.get(unit.key) ?? this.#choose(unit, before.get(unit.key));
		if (site === undefined) {
			return;
		}

		this.#sites.set(unit.key, site);
		table.add(site, {
			model: unit.model, adapter: unit.adapter, waiting: 1, inProgress: 0, dueInMs,
		});
	}

	#choose(unit: WantedUnit, chosenId: string | undefined): string | undefined {
		const shape = this.#getShape(unit);
		if (!shape) {
			return undefined;
		}

		const sites = this.#getSites(unit);
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
		service, model, adapter, needsCopy,
	}: WantedUnit): LoadSite[] {
		return [...this.#parts.getViews().values()]
			.filter(view => view.hasSidecar && view.upstream.service === service && this.#parts.isUsable(view.upstream.id))
			.map(view => newLoadSite(view, model))
			.filter(site => adapter !== '' || !site.isHeld)
			.filter(site => !needsCopy || site.hasMemoryCopy || site.hasDiskCopy || site.remainingMs !== undefined);
	}

	#getShape({service, model}: WantedUnit): ModelShape | undefined {
		return this.#parts.getTable()?.services.get(service)?.engine?.models.find(shape => shape.name === model);
	}
}
