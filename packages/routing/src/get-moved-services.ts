import {getRoute} from './get-route.js';
import {getRouteKey} from './get-route-key.js';
import {getStreamServices} from './get-stream-services.js';
import type {Route} from './route.js';
import type {RouteService} from './route-service.js';
import type {RouteTable} from './route-table.js';

type RoutePair = {
	/** The key of the route in the new routing; of the earlier route if the new routing has none for its URLs. */
	readonly key: string;
	readonly earlier: Route;
};

/** Returns the earlier routes whose URLs, or some of them, a route of the new routing matches. */
const getPairs = (earlier: RouteTable, next: RouteTable): RoutePair[] => {
	const before = next.routing.routes.flatMap(route => {
		const match = getRoute(earlier, route.host, route.pathPrefix);
		return match ? [{key: getRouteKey(route), earlier: match}] : [];
	});
	const removed = earlier.routing.routes.filter(({host, pathPrefix}) => !next.hosts.get(host.toLowerCase())?.has(pathPrefix));
	const after = removed.map(route => ({key: getRouteKey(getRoute(next, route.host, route.pathPrefix) ?? route), earlier: route}));
	return [...before, ...after];
};

/** Returns true if some URL matches both of two route keys. */
const isOverlapping = (key: string, other: string): boolean => key.startsWith(other) || other.startsWith(key);

/**
 * Returns all services at which streams may have begun on URLs that a new routing sends to other services than the earlier routings do, by the key of the
 * new route.
 * @param known - Services at which streams of earlier routes may have begun before these routings, by the route's key.
 */
export const getMovedServices = (earlier: readonly RouteTable[], next: RouteTable, known: ReadonlyMap<string, ReadonlySet<string>>): RouteService[] => {
	const present = new Map(next.routing.routes.map(route => [getRouteKey(route), new Set(getStreamServices(route))]));
	const services = new Map<string, Set<string>>();
	for (const {key, earlier: route} of earlier.flatMap(table => getPairs(table, next))) {
		const began = [...getStreamServices(route), ...known.get(getRouteKey(route)) ?? [], ...known.get(key) ?? []];
		services.set(key, new Set([...services.get(key) ?? [], ...began]));
	}

	// Routes that were removed before have no match in the earlier routings.
	const removed = [...known].filter(([key]) => !earlier.some(({routing}) => routing.routes.some(route => getRouteKey(route) === key)));
	for (const key of present.keys()) {
		const began = removed.filter(([other]) => isOverlapping(key, other)).flatMap(([, values]) => [...values]);
		services.set(key, new Set([...services.get(key) ?? [], ...began]));
	}

	const moved = [...services].filter(([key, began]) => [...began].some(service => !present.get(key)?.has(service)));
	return moved.flatMap(([route, began]) => [...new Set([...began, ...present.get(route) ?? []])].map(service => ({route, service})));
};
