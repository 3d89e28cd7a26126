import {type UnitNeed, getMergedNeeds} from '@valelead/residency';

/** Needs of engines, added up by unit. */
export class NeedTable {
	readonly #needs = new Map<string, UnitNeed[]>();

	add(upstreamId: string, need: UnitNeed): void {
		const known = this.#needs.get(upstreamId) ?? [];
		known.push(need);
		this.#needs.set(upstreamId, known);
	}

	/** The needs of each engine. */
	get all(): Map<string, UnitNeed[]> {
		return new Map([...this.#needs].map(([upstreamId, needs]) => [upstreamId, getMergedNeeds(needs)]));
	}
}
