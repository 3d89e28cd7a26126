import {ROUTE_KIND} from './route-kind.js';
import type {Route} from './route.js';

/** Whether a request that may have run can be sent once more. */
export const isRepeatable = (route: Route): boolean => route.kind === ROUTE_KIND.Idempotent || (route.kind === ROUTE_KIND.Stream && route.isResumable);
