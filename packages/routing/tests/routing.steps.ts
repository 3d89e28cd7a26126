import assert from 'node:assert/strict';
import {
	type DataTable, Given, Then, When,
} from '@cucumber/cucumber';
import {
	type Route, type RouteTable, type Routing, ROUTE_KIND, getRoute, getRoutingFaults, getService, newRouteTable,
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

Given('a routing with these routes', function (this: RoutingWorld, rows: DataTable) {
	this.routing = {
		version: 1,
		routes: (rows.hashes() as RouteRow[]).map(row => newRoute(row)),
		services: [newService('one'), newService('two')],
		limits: {
			maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
		},
	};
	this.table = newRouteTable(this.routing);
});

When('{string} is asked for at {string}', function (this: RoutingWorld, url: string, host: string) {
	this.route = getRoute(this.table, host, url);
});

Then('route {string} takes it', function (this: RoutingWorld, name: string) {
	assert.equal(this.route?.name ?? '', name);
});

When('{int} requests of route {string} are spread evenly', function (this: RoutingWorld, count: number, name: string) {
	const route = this.routing.routes.find(candidate => candidate.name === name)!;
	this.counts = new Map();
	for (let index = 0; index < count; index += 1) {
		const service = getService(route, index / count);
		this.counts.set(service, (this.counts.get(service) ?? 0) + 1);
	}
});

Then('service {string} takes {int} of them', function (this: RoutingWorld, service: string, count: number) {
	assert.equal(this.counts.get(service), count);
});

When('the routing also has this route', function (this: RoutingWorld, rows: DataTable) {
	const added = (rows.hashes() as RouteRow[]).map(row => newRoute(row));
	this.routing = {...this.routing, routes: [...this.routing.routes, ...added]};
});

Then('the fault at {string} says {string}', function (this: RoutingWorld, path: string, reason: string) {
	assert.deepEqual(getRoutingFaults(this.routing), [{path, reason}]);
});
