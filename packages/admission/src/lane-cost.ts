import type {AdmissionEndpoint} from './admission-endpoint.js';
import type {AdmissionRequest} from './admission-request.js';
import type {LaneLoads} from './lane-loads.js';

/**
 * Prepares the choice of a request's upstream, and returns a function that gives what each upstream costs the request in addition to the requests in
 * progress there, in requests in progress; infinite if the upstream cannot take the request now.
 * @param loads - The upstreams among which the request's upstream is chosen; at least one.
 */
export type LaneCost = (request: AdmissionRequest, loads: LaneLoads) => (endpoint: AdmissionEndpoint) => number;
