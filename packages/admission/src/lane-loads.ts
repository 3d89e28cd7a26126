import type {AdmissionEndpoint} from './admission-endpoint.js';

/** The upstreams that can take a request now, each with its requests in progress: those of this entry and, as last reported, of all others. */
export type LaneLoads = ReadonlyMap<AdmissionEndpoint, number>;
