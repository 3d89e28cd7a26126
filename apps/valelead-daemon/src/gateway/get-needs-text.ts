import type {UnitNeed} from '@valelead/residency';

/** Needs as a text without their times, which the sidecar counts on itself, to tell whether they changed. */
export const getNeedsText = (needs: readonly UnitNeed[]): string => JSON.stringify(needs.map(need => [need.model, need.adapter, need.waiting, need.inProgress]));
