import type {Route} from '@valelead/routing';

/** A repeatable request without a beginning of its answer after this many latency objectives is sent elsewhere. */
const PATIENCE_OBJECTIVES = 3;

/** No request is sent elsewhere for silence before this time, in milliseconds. */
const LEAST_PATIENCE_MS = 900;

/** How long the beginning of an answer is waited for before a repeatable request is sent elsewhere, in milliseconds. */
export const getPatienceMs = (route: Route): number => Math.max(LEAST_PATIENCE_MS, route.objectiveMs * PATIENCE_OBJECTIVES);
