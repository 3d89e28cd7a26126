import {LOWEST_PRIORITY} from './lowest-priority.js';
import type {PriorityPair} from './priority-pair.js';
import type {Routing} from './routing.js';

/** Returns all pairs of a team's and a route's priority that requests can have, the most urgent pair first. */
export const getPriorityPairs = ({routes, teams}: Routing): PriorityPair[] => {
	const routePriorities = [...new Set(routes.map(({priority}) => priority))].sort((left, right) => left - right);
	const teamPriorities = teams === undefined ? [LOWEST_PRIORITY] : [...new Set([...teams.map(({priority}) => priority), LOWEST_PRIORITY])].sort((left, right) => left - right);
	return teamPriorities.flatMap(team => routePriorities.map(route => ({team, route})));
};
