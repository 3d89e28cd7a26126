import assert from 'node:assert/strict';
import {
	type DataTable, Given, Then, When,
} from '@cucumber/cucumber';
import {hashKey} from '@valelead/access';
import {QUOTA_UNIT} from '@valelead/quota';
import {
	type Route, type RouteTable, type Routing, type Team, ROUTE_KIND, getPriorityRank, getRoute, getRoutingFaults, getServiceByWeight, newRouteTable,
} from '@valelead/routing';

type RoutingWorld = {
	routing: Routing;
	table: RouteTable;
	route: Route | undefined;
	counts: Map<string, number>;
};

type RouteRow = Record<'name' | 'host' | 'prefix' | 'shares' | 'timeout', string>;

const newRoute = (row: RouteRow): Route => ({
	name: row.name,
	host: row.host,
	pathPrefix: row.prefix,
	kind: ROUTE_KIND.Idempotent,
	isOpen: false,
	isResumable: false,
	timeoutMs: Number(row.timeout),
	objectiveMs: 100,
	pauseObjectiveMs: 0,
	callerPatienceMs: 1000,
	priority: 0,
	maxAttempts: 1,
	shares: row.shares.split(', ').map(share => ({service: share.split(':')[0], weight: Number(share.split(':')[1])})),
});

const newService = (name: string) => ({
	name, healthPath: '/', maxConnections: 1, engine: undefined,
});

Given('a routing configuration with these routes', function (this: RoutingWorld, rows: DataTable) {
	this.routing = {
		version: 1,
		routes: (rows.hashes() as RouteRow[]).map(row => newRoute(row)),
		services: [newService('one'), newService('two')],
		limits: {
			maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
		},
		teams: undefined,
	};
	this.table = newRouteTable(this.routing);
});

When('{string} is requested from host {string}', function (this: RoutingWorld, url: string, host: string) {
	this.route = getRoute(this.table, host, url);
});

Then('the request matches route {string}', function (this: RoutingWorld, name: string) {
	assert.equal(this.route?.name ?? '', name);
});

When('{int} requests of route {string} are spread evenly', function (this: RoutingWorld, count: number, name: string) {
	const route = this.routing.routes.find(candidate => candidate.name === name)!;
	this.counts = new Map();
	for (let index = 0; index < count; index += 1) {
		const service = getServiceByWeight(route, index / count);
		this.counts.set(service, (this.counts.get(service) ?? 0) + 1);
	}
});

Then('service {string} takes {int} of them', function (this: RoutingWorld, service: string, count: number) {
	assert.equal(this.counts.get(service), count);
});

When('the configuration also has this route', function (this: RoutingWorld, rows: DataTable) {
	const added = (rows.hashes() as RouteRow[]).map(row => newRoute(row));
	this.routing = {...this.routing, routes: [...this.routing.routes, ...added]};
});

Then('the fault at {string} says {string}', function (this: RoutingWorld, path: string, reason: string) {
	assert.deepEqual(getRoutingFaults(this.routing), [{path, reason}]);
});

const newTeam = (name: string, key: string, priority: number, perSecond?: number): Team => ({
	name,
	keyHashes: [hashKey(key)],
	priority,
	quota: perSecond === undefined
		? undefined
		: {
			unit: QUOTA_UNIT.Request, perSecond, burst: 0, plainTokens: 1,
		},
});

When('the configuration also has teams {string} with key {string} and {string} with key {string} and quota {int}', function (
	this: RoutingWorld,
	first: string,
	firstKey: string,
	second: string,
	secondKey: string,
	perSecond: number,
) {
	this.routing = {...this.routing, teams: [newTeam(first, firstKey, 0), newTeam(second, secondKey, 0, perSecond)]};
});

const setPriorities = (world: RoutingWorld, routes: string, teams: string | undefined): void => {
	const [route] = world.routing.routes;
	world.table = newRouteTable({
		...world.routing,
		routes: routes.split(', ').map(priority => ({...route, name: `r${priority}`, priority: Number(priority)})),
		teams: teams?.split(', ').map(priority => newTeam(`t${priority}`, `k${priority}`, Number(priority))),
	});
};

Given('routes of priority {string} and teams of priority {string}', function (this: RoutingWorld, routes: string, teams: string) {
	setPriorities(this, routes, teams);
});

Given('routes of priority {string} and no teams', function (this: RoutingWorld, routes: string) {
	setPriorities(this, routes, undefined);
});

const getRankOf = ({table}: RoutingWorld, team: Team | undefined, priority: number): number =>
	getPriorityRank(table, table.routing.routes.find(route => route.priority === priority)!, team);

Then('a request of no team on a route of priority {int} has rank {int}', function (this: RoutingWorld, route: number, rank: number) {
	assert.equal(getRankOf(this, undefined, route), rank);
});

Then('a request of a team of priority {int} on a route of priority {int} has rank {int}', function (this: RoutingWorld, team: number, route: number, rank: number) {
	assert.equal(getRankOf(this, this.table.teams.get(`t${team}`), route), rank);
});

Then('the ranks rise from {int} to {int} with the priorities', function (this: RoutingWorld, first: number, last: number) {
	const teams = [...this.table.teams.values(), undefined];
	const ranks = teams.flatMap(team => this.table.routing.routes.map(route => getPriorityRank(this.table, route, team)));
	assert.deepEqual([ranks[0], ranks.at(-1)], [first, last]);
	assert.deepEqual(ranks, [...ranks].sort((left, right) => left - right));
});
