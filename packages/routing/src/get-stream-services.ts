import type {Route} from './route.js';
import {ROUTE_KIND} from './route-kind.js';

/** Returns the services at which streams of a route begin; none if its responses are not streams. */
export const getStreamServices = ({kind, shares}: Route): string[] =>
	kind === ROUTE_KIND.Stream ? shares.filter(({weight}) => weight > 0).map(({service}) => service) : [];
