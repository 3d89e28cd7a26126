import {newKeyTable} from '@valelead/access';
import {getPriorityPairs} from './get-priority-pairs.js';
import type {Route} from './route.js';
import type {RouteTable} from './route-table.js';
import type {Routing} from './routing.js';

/** Builds the look-up tables for a routing configuration. */
export const newRouteTable = (routing: Routing): RouteTable => {
	const hosts = new Map<string, Map<string, Route>>();
	for (const route of routing.routes) {
		const host = route.host.toLowerCase();
		const prefixes = hosts.get(host) ?? new Map<string, Route>();
		prefixes.set(route.pathPrefix, route);
		hosts.set(host, prefixes);
	}

	const teams = routing.teams ?? [];
	return {
		routing,
		services: new Map(routing.services.map(service => [service.name, service])),
		hosts,
		teams: new Map(teams.map(team => [team.name, team])),
		keys: newKeyTable(teams),
		priorities: getPriorityPairs(routing),
	};
};
