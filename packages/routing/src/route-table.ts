import type {KeyTable} from '@valelead/access';
import type {Route} from './route.js';
import type {Routing} from './routing.js';
import type {PriorityPair} from './priority-pair.js';
import type {Service} from './service.js';
import type {Team} from './team.js';

/** A routing configuration with the look-up tables that are built from it. */
export type RouteTable = {
	readonly routing: Routing;
	readonly services: ReadonlyMap<string, Service>;
	/** The routes by host, then by path prefix. */
	readonly hosts: ReadonlyMap<string, ReadonlyMap<string, Route>>;
	readonly teams: ReadonlyMap<string, Team>;
	readonly keys: KeyTable;
	/** All pairs of a team's and a route's priority that requests can have, the most urgent pair first. */
	readonly priorities: readonly PriorityPair[];
};
