import {LOWEST_PRIORITY} from './lowest-priority.js';
import type {Route} from './route.js';
import type {RouteTable} from './route-table.js';
import type {Team} from './team.js';

/**
 * Returns the priority rank of a request, from 0 for the most urgent to 9 for the least urgent. Requests are ranked by their team's priority, then
 * by their route's. If the routing configuration has no teams, the rank is the route's priority.
 */
export const getPriorityRank = ({routing, priorities}: RouteTable, route: Route, team: Team | undefined): number => {
	if (routing.teams === undefined) {
		return route.priority;
	}

	const teamPriority = team?.priority ?? LOWEST_PRIORITY;
	const position = priorities.findIndex(pair => pair.team === teamPriority && pair.route === route.priority);
	const maxPosition = priorities.length - 1;
	return maxPosition <= LOWEST_PRIORITY ? position : Math.floor(position * LOWEST_PRIORITY / maxPosition);
};
