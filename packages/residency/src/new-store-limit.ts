import type {StoreLimit} from './store-limit.js';

/** Fetches at once before any was seen to end. */
const INITIAL_MAX_FETCHES = 4;

export const newStoreLimit = (): StoreLimit => ({atOnce: INITIAL_MAX_FETCHES, fetches: new Map()});
