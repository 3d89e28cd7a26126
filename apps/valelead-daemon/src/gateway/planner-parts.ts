import type {RouteTable} from '@valelead/routing';
import type {EngineView} from './engine-view.js';
import type {StoreLimitChange} from './store-limit-change.js';
import type {PlacementChange} from './placement-change.js';

/** Dependencies of the load planner: the state of the engines, and callbacks for its decisions. */
export type PlannerParts = {
	readonly getTable: () => RouteTable | undefined;
	readonly getViews: () => ReadonlyMap<string, EngineView>;
	/** True if requests are currently sent to the upstream. */
	readonly isUsable: (upstreamId: string) => boolean;
	/** True if loads follow the measured capacity of the weight store and the urgency of requests (`scheduling.loadForecast`); false if absent. */
	readonly isLoadForecast?: boolean;
	/** Called when a placement request is moved from one engine to another. */
	readonly onPlacementChange: (change: PlacementChange) => void;
	/** Called when the estimated concurrency limit of the weight store changes. */
	readonly onStoreLimitChange: (change: StoreLimitChange) => void;
};
