import type {PlacementDecision, PlacementView} from '@valelead/placement';

/** A policy under measurement: decides like the shipping one, on the same view. */
export type Policy = {
	readonly name: string;
	readonly decide: (view: PlacementView, now: number) => PlacementDecision[];
};
