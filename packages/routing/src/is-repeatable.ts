import {isResumableStream} from './is-resumable-stream.js';
import {ROUTE_KIND} from './route-kind.js';
import type {Route} from './route.js';

/** Returns true if requests of the route may be sent again although an earlier attempt may have run. */
export const isRepeatable = (route: Route): boolean => route.kind === ROUTE_KIND.Idempotent || isResumableStream(route);
