import type {UPSTREAM_STATE} from './upstream-state.js';

/** One of the values of UPSTREAM_STATE. */
export type UpstreamStateValue = (typeof UPSTREAM_STATE)[keyof typeof UPSTREAM_STATE];
