import type {Fleet} from './fleet.js';

/** Returns the state of a leader that has received no reports yet. */
export const newFleet = (): Fleet => ({vms: new Map(), entries: new Map()});
