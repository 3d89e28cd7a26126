import type {AdmissionEndpoint} from './admission-endpoint.js';
import type {AdmissionRequest} from './admission-request.js';
import type {LaneLoads} from './lane-loads.js';

/**
 * Returns what an upstream costs a request in addition to the requests in progress there, in requests in progress; infinite if the upstream cannot take
 * the request now.
 * @param loads - The upstreams among which the request's upstream is chosen. The same map is passed for all upstreams of one choice.
 */
export type LaneCost = (request: AdmissionRequest, endpoint: AdmissionEndpoint, loads?: LaneLoads) => number;
