import type {UnitNeed} from '@valelead/residency';

/** Serialises needs to detect changes. Times are left out, as the receiver counts them down itself. */
export const getNeedsText = (needs: readonly UnitNeed[]): string => JSON.stringify(needs.map(need => [need.model, need.adapter, need.waiting, need.inProgress]));
