import type {ROUTE_KIND} from './route-kind.js';

/** The kind of a route; one of the values of `ROUTE_KIND`. */
export type RouteKindValue = (typeof ROUTE_KIND)[keyof typeof ROUTE_KIND];
