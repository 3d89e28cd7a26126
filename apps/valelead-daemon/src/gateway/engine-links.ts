import type {Upstream} from '@valelead/discovery';
import type {UnitNeed} from '@valelead/residency';
import type {StoreReport} from './store-report.js';

/** Connections from a gateway to the managers of engines: their sidecars, or gateways in place of these. */
export type EngineLinks = {
	/** Connects to the managers of these engines and disconnects from all others. */
	readonly follow: (engines: readonly Upstream[]) => void;
	/**
	 * Sends each manager the units that this gateway needs on its engine, and what it knows about the weight store; an engine that is missing in the
	 * map is needed for none.
	 */
	readonly setNeeds: (needs: ReadonlyMap<string, readonly UnitNeed[]>, store: StoreReport) => void;
};
