import type {Route} from './route.js';
import type {Routing} from './routing.js';
import type {Service} from './service.js';

/** A configuration indexed for look-ups. */
export type RouteTable = {
	readonly routing: Routing;
	readonly services: ReadonlyMap<string, Service>;
	/** For each host, its routes by prefix. */
	readonly hosts: ReadonlyMap<string, ReadonlyMap<string, Route>>;
};
