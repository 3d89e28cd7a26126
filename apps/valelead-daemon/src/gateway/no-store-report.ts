import type {StoreReport} from './store-report.js';

/** The report of a gateway that knows nothing about the weight store, and the one that an older gateway sends. */
export const NO_STORE_REPORT: StoreReport = {sustainedFetches: 0, fetchesInProgress: 0};
