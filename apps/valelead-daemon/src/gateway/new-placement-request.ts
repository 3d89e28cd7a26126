import type {PlacementRequest} from './placement-request.js';

const NO_UPSTREAM_IDS: ReadonlySet<string> = new Set();

/**
 * Creates a placement request that any engine may satisfy. The fields are copied one by one because this runs for each waiting request in each
 * planning round, and object spread is slower.
 */
export const newPlacementRequest = ({service, model, adapter, key}: Pick<PlacementRequest, 'service' | 'model' | 'adapter' | 'key'>): PlacementRequest => ({
	service, model, adapter, key, requiresCopy: false, requiresRoom: false, requiresFewCopies: false, excludedUpstreamIds: NO_UPSTREAM_IDS,
});
