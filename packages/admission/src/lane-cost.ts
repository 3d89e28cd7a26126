import type {AdmissionEndpoint} from './admission-endpoint.js';
import type {AdmissionRequest} from './admission-request.js';

/**
 * Returns what an upstream costs a request in addition to the requests in progress there, in requests in progress; infinite if the upstream cannot take
 * the request now.
 */
export type LaneCost = (request: AdmissionRequest, endpoint: AdmissionEndpoint) => number;
