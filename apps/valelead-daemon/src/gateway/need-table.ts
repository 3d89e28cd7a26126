import {type UnitNeed, getMergedNeeds} from '@valelead/residency';

/** Collects the units needed on each engine, and merges the needs for the same unit. */
export class NeedTable {
	readonly #needs = new Map<string, UnitNeed[]>();

	add(upstreamId: string, need: UnitNeed): void {
		const needs = this.#needs.get(upstreamId) ?? [];
		needs.push(need);
		this.#needs.set(upstreamId, needs);
	}

	/** The merged needs of each engine, by upstream id. */
	get all(): Map<string, UnitNeed[]> {
		return new Map([...this.#needs].map(([upstreamId, needs]) => [upstreamId, getMergedNeeds(needs)]));
	}
}
