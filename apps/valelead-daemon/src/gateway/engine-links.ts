import type {Upstream} from '@valelead/discovery';
import type {UnitNeed} from '@valelead/residency';

/** The links from a gateway to the sidecars of engines. */
export type EngineLinks = {
	/** Keeps links to the sidecars of these engines and of no others. */
	readonly follow: (engines: readonly Upstream[]) => void;
	/** Tells each sidecar what this gateway needs of its engine. */
	readonly setNeeds: (needs: ReadonlyMap<string, readonly UnitNeed[]>) => void;
};
