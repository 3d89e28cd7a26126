import type {RouteTable} from '@valelead/routing';
import type {EngineView} from './engine-view.js';
import type {StoreLimitChange} from './store-limit-change.js';
import type {SiteChange} from './site-change.js';

/** What a gateway knows of the engines where models could be loaded. */
export type PlannerParts = {
	readonly getTable: () => RouteTable | undefined;
	readonly getViews: () => ReadonlyMap<string, EngineView>;
	/** Whether requests are sent to the upstream at present. */
	readonly isUsable: (upstreamId: string) => boolean;
	/** Hears of wishes that go from one engine to another. */
	readonly onSiteChange: (change: SiteChange) => void;
	/** Hears of what the weight store turns out to serve at once. */
	readonly onStoreLimit: (change: StoreLimitChange) => void;
};
