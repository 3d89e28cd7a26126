import type {PlacementRequest} from './placement-request.js';

const NO_UPSTREAM_IDS: ReadonlySet<string> = new Set();

/** A unit that any engine may load. Each field by its name: one is made for each waiting request in each turn, and spreading takes longer. */
export const newPlacementRequest = ({service, model, adapter, key}: Pick<PlacementRequest, 'service' | 'model' | 'adapter' | 'key'>): PlacementRequest => ({
	service, model, adapter, key, requiresCopy: false, requiresRoom: false, requiresFewCopies: false, excludedUpstreamIds: NO_UPSTREAM_IDS,
});
