import type {Fleet} from './fleet.js';

/** Nothing heard yet. */
export const newFleet = (): Fleet => ({vms: new Map(), entries: new Map()});
