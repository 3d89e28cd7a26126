import {type Route, type RouteTable, newRouteTable} from '@valelead/routing';

/** A routing with one route to plain services. */
export const newPlainTable = (route: Route): RouteTable => newRouteTable({
	version: 1,
	routes: [route],
	services: route.shares.map(({service}) => ({
		name: service, healthPath: '/', maxConnections: 100, engine: undefined,
	})),
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
	teams: undefined,
});
