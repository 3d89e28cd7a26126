import assert from 'node:assert/strict';
import {setImmediate} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import type {ValeleadError} from '@valelead/common';
import type {Upstream} from '@valelead/discovery';
import {
	type Route, type Routing, type Team, ROUTE_KIND,
} from '@valelead/routing';
import {type StreamOrigin, getOriginKey} from '@valelead/stream-origin';
import {pino} from 'pino';
import {newProcessTimers} from '../../../tests/support/new-process-timers.js';
import {newUpstream} from '../../../tests/support/new-upstream.js';
import {VirtualProcess} from '../../../tests/support/virtual-process.js';
import {VirtualTime} from '../../../tests/support/virtual-time.js';
import {newCallerHead} from './new-caller-head.js';
import {SimulatedVersionLog} from './simulated-version-log.js';
import {
	type CallerRequest, OriginStore, RouteServices, SoftwareVersions, getResumedOrigin,
} from 'valelead-daemon';

type OriginWorld = {
	time: VirtualTime;
	store: OriginStore;
	versionLog: SimulatedVersionLog;
	upstreams: readonly Upstream[];
	/** What the leader knows of versions; undefined while no leader replies. */
	versions: SoftwareVersions | undefined;
	requestId: string | undefined;
	/** What the leader knows of the services of moved routes. */
	routes: RouteServices;
	routing: Routing | undefined;
	route: Route;
	result: string;
	/** How long the leader and the voters take to reply; undefined if they do at once. */
	replyMs: {readonly leader: number; readonly voter: number} | undefined;
	retryAfterMs: number | undefined;
	tookMs: number;
};

const MS_PER_SECOND = 1000;
const LIFETIME_MS = 1_000_000;
const STEP_MS = 10;

const NEW_REQUEST = newCallerHead('b1');

const newTeam = (name: string): Team => ({
	name, keyHashes: [], priority: 0, quota: undefined,
});

const newRoute = (service: string, isResumable: boolean): Route => ({
	host: 'a.example', pathPrefix: '/chat/', kind: ROUTE_KIND.Stream, isResumable, shares: [{service, weight: 1}],
}) as unknown as Route;

const newRouting = (version: number, routes: readonly Route[]): Routing => ({version, routes, services: []}) as unknown as Routing;

const getClock = ({time}: OriginWorld): {now: () => number; wallNow: () => number} => ({now: () => time.now, wallNow: () => time.now});

const newLeader = (world: OriginWorld): SoftwareVersions => {
	const versions = new SoftwareVersions({
		voter: world.versionLog, getUpstreams: () => world.upstreams, timers: newProcessTimers(world.time, new VirtualProcess(world.time)), logger: pino({enabled: false}),
	});
	versions.start();
	return versions;
};

const newRouteServices = (world: OriginWorld): RouteServices => {
	const routes = new RouteServices({
		voter: world.versionLog,
		getRouting: () => world.routing,
		timers: newProcessTimers(world.time, new VirtualProcess(world.time)),
		logger: pino({enabled: false}),
	});
	routes.start();
	return routes;
};

/** A routing with one route comes into force, as a leader commits it. */
const replaceRouting = async (world: OriginWorld, route: Route): Promise<void> => {
	const routing = newRouting((world.routing?.version ?? 0) + 1, [route]);
	await world.routes.register(routing);
	world.routing = routing;
	world.route = route;
};

Given('a resumable route to service {string}', async function (this: OriginWorld, service: string) {
	this.time ??= new VirtualTime();
	this.store ??= new OriginStore({clock: getClock(this), timers: newProcessTimers(this.time, new VirtualProcess(this.time))});
	this.versionLog ??= new SimulatedVersionLog();
	this.upstreams ??= [];
	this.versions ??= newLeader(this);
	this.routes ??= newRouteServices(this);
	await replaceRouting(this, newRoute(service, true));
});

Given('a route to service {string} that is not resumable', function (this: OriginWorld, service: string) {
	this.route = newRoute(service, false);
});

Given('attempt {string} of team {string} began its stream at service {string}, version {string}', function (
	this: OriginWorld,
	attempt: string,
	team: string,
	service: string,
	softwareVersion: string,
) {
	this.store.record({
		key: getOriginKey(team, attempt), service, softwareVersion, runId: `run of ${softwareVersion}`, expiresAt: LIFETIME_MS,
	});
});

const setVersions = async (world: OriginWorld, versions: string): Promise<void> => {
	const upstreams = versions.split(', ').map((softwareVersion, index) => newUpstream(`u${index}`, {softwareVersion}));
	await Promise.all(upstreams.map(async upstream => world.versions!.register(upstream)));
	world.upstreams = upstreams;
};

Given('upstreams of versions {string}', async function (this: OriginWorld, versions: string) {
	await setVersions(this, versions);
});

Given('{int} seconds later upstreams of versions {string}', async function (this: OriginWorld, seconds: number, versions: string) {
	this.time.advance(seconds * MS_PER_SECOND);
	await setVersions(this, versions);
});

Given('an upstream of service {string} and version {string}', async function (this: OriginWorld, service: string, softwareVersion: string) {
	const upstream = newUpstream('other', {service, softwareVersion});
	await this.versions!.register(upstream);
	this.upstreams = [...this.upstreams, upstream];
});

Given('another leader, which knows upstreams of versions {string}', async function (this: OriginWorld, versions: string) {
	this.versionLog.lead();
	this.versions = newLeader(this);
	await setVersions(this, versions);
});

Given('no leader replies within {int} ms, and no voter knows the stream within {int} ms', function (this: OriginWorld, leaderMs: number, voterMs: number) {
	this.versions = undefined;
	this.replyMs = {leader: leaderMs, voter: voterMs};
});

Given('the request has the id {string}', function (this: OriginWorld, id: string) {
	this.requestId = id;
});

When('team {string} sends a request with last event {string} that resumes {string}', async function (this: OriginWorld, team: string, lastEventId: string, resumedRequestId: string) {
	const head: CallerRequest = {
		...NEW_REQUEST, id: this.requestId ?? NEW_REQUEST.id, lastEventId, resumedRequestId,
	};
	const caller = {team: newTeam(team), rank: 0, cost: 0};
	const timers = newProcessTimers(this.time, new VirtualProcess(this.time));
	const findOrigin = async (key: string): Promise<StreamOrigin | undefined> => {
		await (this.replyMs && timers.wait(this.replyMs.voter));
		return this.store.get(key);
	};

	const findSoleVersion = async (route: string, service: string): Promise<string | undefined> => {
		await (this.replyMs && timers.wait(this.replyMs.leader));
		return this.routes.isSole(route, service) ? this.versions?.getSole(service) : '';
	};

	const startedAt = this.time.now;
	this.result = '';
	void (async () => {
		try {
			const origin = await getResumedOrigin({route: this.route, caller, head}, {findOrigin, findSoleVersion});
			this.result = origin ? `at ${origin.service}, ${origin.softwareVersion}` : 'new';
		} catch (error) {
			const {code, retryAfterMs} = error as ValeleadError;
			this.result = `refused, ${code}`;
			this.retryAfterMs = retryAfterMs;
		}
	})();

	for (let passedMs = 0; this.result === '' && passedMs < LIFETIME_MS; passedMs += STEP_MS) {
		await setImmediate();
		this.time.advance(STEP_MS);
	}

	this.tookMs = this.time.now - startedAt;
});

Then('the caller may try again after {int} ms, and had its answer within {int} ms', function (this: OriginWorld, retryAfterMs: number, limitMs: number) {
	assert.equal(this.retryAfterMs, retryAfterMs);
	assert.ok(this.tookMs <= limitMs, `${this.tookMs} ms`);
});

Then('the request is {string}', function (this: OriginWorld, result: string) {
	assert.equal(this.result, result);
});
