import {type UnitNeed, getMergedWaits, getUnitName} from '@valelead/residency';

/** Needs of engines, added up by unit. */
export class NeedTable {
	readonly #needs = new Map<string, Map<string, UnitNeed>>();

	add(upstreamId: string, need: UnitNeed): void {
		const units = this.#needs.get(upstreamId) ?? new Map<string, UnitNeed>();
		this.#needs.set(upstreamId, units);
		const name = getUnitName(need.model, need.adapter);
		const known = units.get(name);
		units.set(name, {
			...need,
			waiting: need.waiting + (known?.waiting ?? 0),
			inProgress: need.inProgress + (known?.inProgress ?? 0),
			waits: known ? getMergedWaits([...known.waits, ...need.waits]) : need.waits,
		});
	}

	/** The needs of each engine. */
	get all(): Map<string, UnitNeed[]> {
		return new Map([...this.#needs].map(([upstreamId, units]) => [upstreamId, [...units.values()]]));
	}
}
