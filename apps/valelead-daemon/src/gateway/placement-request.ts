import type {StreamOrigin} from '@valelead/stream-origin';

/** A request to load a unit (a model, or an adapter on it) on some engine of a service, with constraints on the choice of the engine. */
export type PlacementRequest = {
	readonly service: string;
	readonly model: string;
	/** Empty for the model itself. */
	readonly adapter: string;
	/** If the request is for streams that began elsewhere: where they began. Only engines that may continue them are eligible. */
	readonly origin: StreamOrigin | undefined;
	/** Identifies the request over planning rounds, so that it keeps the engine that was chosen for it. */
	readonly key: string;
	/** True if only engines with a copy of the model are eligible. */
	readonly requiresCopy: boolean;
	/** True if only engines that can load the model without evicting another one are eligible. */
	readonly requiresRoom: boolean;
	/** True if only engines with few copies on their disk are eligible. */
	readonly requiresFewCopies: boolean;
	/** Engines that are not eligible because they already load the model for another placement request. */
	readonly excludedUpstreamIds: ReadonlySet<string>;
};
