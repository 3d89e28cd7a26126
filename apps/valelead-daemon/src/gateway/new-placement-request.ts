import type {PlacementRequest} from './placement-request.js';

type Terms = Pick<PlacementRequest, 'service' | 'model' | 'adapter' | 'key'> & Partial<Pick<PlacementRequest, 'origin'>>;

const NO_UPSTREAM_IDS: ReadonlySet<string> = new Set();

/**
 * Creates a placement request that any engine of the service may satisfy, or any that may continue the streams of an origin. The fields are copied one by
 * one because this runs for each waiting request in each planning round, and object spread is slower.
 */
export const newPlacementRequest = ({service, model, adapter, key, origin}: Terms): PlacementRequest => ({
	service, model, adapter, key, origin, requiresCopy: false, requiresRoom: false, requiresFewCopies: false, excludedUpstreamIds: NO_UPSTREAM_IDS,
});
