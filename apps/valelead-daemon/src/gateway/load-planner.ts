import {
	type LoadSite, type UnitNeed, getLoadSite, getUnitName,
} from '@valelead/residency';
import type {ModelShape, RouteTable} from '@valelead/routing';
import type {EngineView} from './engine-view.js';
import type {GatewayRequest} from './gateway-request.js';

type PlannerParts = {
	readonly getTable: () => RouteTable | undefined;
	readonly getViews: () => ReadonlyMap<string, EngineView>;
	/** Whether requests are sent to the upstream at present. */
	readonly isUsable: (upstreamId: string) => boolean;
};

/** A site that has not served a waiting request within this many of its load times is left for another one. */
const PATIENCE_LOADS = 4;

type ChosenSite = {
	readonly upstreamId: string;
	readonly chosenAt: number;
	readonly patienceMs: number;
};

/** Chooses the engines where models and adapters that requests wait for are to be loaded. */
export class LoadPlanner {
	readonly #parts: PlannerParts;
	readonly #sites = new Map<string, ChosenSite>();

	constructor(parts: PlannerParts) {
		this.#parts = parts;
	}

	/** What each engine is needed for: requests in progress there, and waiting ones that it is to load for. */
	getNeeds(waiting: readonly GatewayRequest[], inProgress: readonly GatewayRequest[], now: number): Map<string, UnitNeed[]> {
		const needs = new Map<string, Map<string, UnitNeed>>();
		for (const request of inProgress) {
			this.#add(needs, request.upstreamId, request, {waiting: 0, inProgress: 1, dueInMs: Number.MAX_SAFE_INTEGER});
		}

		const targets = new Set(waiting.map(request => request.target));
		for (const target of this.#sites.keys()) {
			if (!targets.has(target)) {
				this.#sites.delete(target);
			}
		}

		for (const request of waiting) {
			const site = this.#getSite(request, now);
			if (site !== undefined) {
				this.#add(needs, site, request, {waiting: 1, inProgress: 0, dueInMs: Math.round(request.arrivedAt + request.route.objectiveMs - now)});
			}
		}

		return new Map([...needs].map(([id, units]) => [id, [...units.values()]]));
	}

	#add(needs: Map<string, Map<string, UnitNeed>>, upstreamId: string, {head}: GatewayRequest, counts: Omit<UnitNeed, 'model' | 'adapter'>): void {
		const units = needs.get(upstreamId) ?? new Map<string, UnitNeed>();
		needs.set(upstreamId, units);
		const name = getUnitName(head.model, head.adapter);
		const known = units.get(name);
		units.set(name, {
			model: head.model,
			adapter: head.adapter,
			waiting: counts.waiting + (known?.waiting ?? 0),
			inProgress: counts.inProgress + (known?.inProgress ?? 0),
			dueInMs: Math.min(counts.dueInMs, known?.dueInMs ?? Number.MAX_SAFE_INTEGER),
		});
	}

	#getSite(request: GatewayRequest, now: number): string | undefined {
		const chosen = this.#sites.get(request.target);
		if (chosen && this.#isCandidate(chosen.upstreamId, request) && now - chosen.chosenAt < chosen.patienceMs) {
			return chosen.upstreamId;
		}

		const shape = this.#getShape(request);
		if (!shape) {
			return undefined;
		}

		const candidates = [...this.#parts.getViews().values()].filter(view => this.#isCandidate(view.upstream.id, request));
		const others = candidates.filter(view => view.upstream.id !== chosen?.upstreamId);
		const site = getLoadSite(request.target, shape, (others.length > 0 ? others : candidates).map(view => this.#newSite(view, request)));
		if (!site) {
			this.#sites.delete(request.target);
			return undefined;
		}

		this.#sites.set(request.target, {upstreamId: site.upstreamId, chosenAt: now, patienceMs: shape.storeLoadMs * PATIENCE_LOADS});
		return site.upstreamId;
	}

	#isCandidate(upstreamId: string, request: GatewayRequest): boolean {
		const view = this.#parts.getViews().get(upstreamId);
		if (!view?.hasSidecar || view.upstream.service !== request.service || !this.#parts.isUsable(upstreamId)) {
			return false;
		}

		// A request for a model itself waits because its replicas are full or failing, so another one is needed.
		const isHeld = view.models.some(model => model.name === request.head.model);
		return request.head.adapter !== '' || !isHeld;
	}

	#getShape({service, head}: GatewayRequest): ModelShape | undefined {
		return this.#parts.getTable()?.services.get(service)?.engine?.models.find(model => model.name === head.model);
	}

	#newSite({upstream, models, loading, copiesInMemory, copiesOnDisk, inProgress}: EngineView, {head}: GatewayRequest): LoadSite {
		const isHeld = models.some(model => model.name === head.model);
		return {
			upstreamId: upstream.id,
			isHeld,
			hasMemoryCopy: copiesInMemory.includes(head.model),
			hasDiskCopy: copiesOnDisk.includes(head.model),
			isLoading: loading.includes(head.model),
			queuedLoads: loading.filter(model => model !== head.model).length,
			pressure: inProgress / Math.max(1, upstream.slots),
		};
	}
}
