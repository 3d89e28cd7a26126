import assert from 'node:assert/strict';
import {setImmediate} from 'node:timers/promises';
import {Then} from '@cucumber/cucumber';
import {
	type Route, type RouteTable, type Routing, ROUTE_KIND, getRoute, getRouteKey, getStreamServices, newRouteTable,
} from '@valelead/routing';
import fc from 'fast-check';
import {pino} from 'pino';
import {newProcessTimers} from '../../../tests/support/new-process-timers.js';
import {VirtualProcess} from '../../../tests/support/virtual-process.js';
import {VirtualTime} from '../../../tests/support/virtual-time.js';
import {SimulatedVersionLog} from './simulated-version-log.js';
import {type RouteLog, RouteServices} from 'valelead-daemon';

const RETENTION_MS = 60_000;
const HOST = 'a.example';
const URLS = ['/a/1', '/a/b/1', '/a/b/c/1'];

/** A voter's part, and the term in which it leads; it does nothing in other terms. */
type ModelVoter = {
	readonly routes: RouteServices;
	term: number;
};

/** Voters that lead in turn and commit routings, and the services at which streams began. */
class RouteModel {
	readonly time = new VirtualTime();
	readonly log = new SimulatedVersionLog();
	/** When streams of a URL last began at a service, in milliseconds, by both. */
	readonly #begunAt = new Map<string, {readonly url: string; readonly service: string; readonly at: number}>();
	#table: RouteTable | undefined;
	#version = 0;
	readonly #voters = [this.#newVoter(this.log.node.term), this.#newVoter(0)];
	#leader = this.#voters[0];

	replace(services: ReadonlyArray<readonly [string, string]>): void {
		this.#version += 1;
		const routes = services.map(([pathPrefix, service]) => ({
			host: HOST, pathPrefix, kind: ROUTE_KIND.Stream, isResumable: true, shares: [{service, weight: 1}],
		}) as unknown as Route);
		const routing = {version: this.#version, routes, services: []} as unknown as Routing;
		const {term} = this.log.node;
		const commit = async (): Promise<void> => {
			await this.#leader.routes.register(routing);
			// What a leader proposes after its term is not committed.
			if (term === this.log.node.term) {
				await this.log.propose(() => {
					this.#apply(routing);
				});
			}
		};

		void commit();
	}

	lead(index: number): void {
		this.log.lead();
		this.#leader = this.#voters[index];
		this.#leader.term = this.log.node.term;
	}

	pass(ms: number): void {
		this.#note();
		this.time.advance(ms);
		this.#note();
	}

	/** Returns a stream that began at another service than the one at which it would go on, undefined if there is none. */
	get misplaced(): string | undefined {
		for (const {url, service, at} of this.#begunAt.values()) {
			const route = this.#table && getRoute(this.#table, HOST, url);
			const present = route && getStreamServices(route)[0];
			const isRecent = this.time.now - at <= RETENTION_MS;
			if (isRecent && route && present !== undefined && present !== service && this.#leader.routes.isSole(getRouteKey(route), present)) {
				return `a stream of ${url} began at ${service}, and ${present} is taken for the only one`;
			}
		}

		return undefined;
	}

	#apply(routing: Routing): void {
		if (routing.version > (this.#table?.routing.version ?? 0)) {
			this.#note();
			this.#table = newRouteTable(routing);
			this.#note();
		}
	}

	/** Streams of all URLs begin where the routing leads. */
	#note(): void {
		for (const url of URLS) {
			const route = this.#table && getRoute(this.#table, HOST, url);
			for (const service of route ? getStreamServices(route) : []) {
				this.#begunAt.set(`${url} ${service}`, {url, service, at: this.time.now});
			}
		}
	}

	#newVoter(term: number): ModelVoter {
		const voter = {term, routes: undefined as unknown as RouteServices};
		const getNode = (): RouteLog['node'] => ({term: this.log.node.term, canRead: this.log.node.term === voter.term});
		voter.routes = new RouteServices({
			voter: Object.create(this.log, {node: {get: getNode}}) as SimulatedVersionLog,
			getRouting: () => this.#table?.routing,
			timers: newProcessTimers(this.time, new VirtualProcess(this.time)),
			logger: pino({enabled: false}),
		});
		voter.routes.start();
		return voter;
	}
}

const SERVICE = fc.constantFrom('r', 's', 't');

const ROUTES = fc.uniqueArray(fc.tuple(fc.constantFrom('/', '/a/', '/a/b/', '/a/b/c/'), SERVICE), {selector: ([prefix]) => prefix, maxLength: 3});

const STEP = fc.oneof(
	fc.record({kind: fc.constant('replace' as const), services: ROUTES}),
	fc.record({kind: fc.constant('pass' as const), ms: fc.constantFrom(500, 5000, 30_000, 62_000)}),
	fc.record({kind: fc.constant('commit' as const)}),
	fc.record({kind: fc.constant('lead' as const), index: fc.constantFrom(0, 1)}),
);

type Step = typeof STEP extends fc.Arbitrary<infer Value> ? Value : never;

const applyStep = (model: RouteModel, step: Step): void => {
	switch (step.kind) {
		case 'replace': {
			model.replace(step.services);
			break;
		}

		case 'pass': {
			model.pass(step.ms);
			break;
		}

		case 'commit': {
			model.log.commit();
			break;
		}

		case 'lead': {
			model.lead(step.index);
			break;
		}
	}
};

Then('in {int} random histories no other service than those of its URL\'s streams of the last 60 seconds is taken for the only one', {timeout: 60_000}, async (runs: number) => {
	await fc.assert(fc.asyncProperty(fc.boolean(), fc.array(STEP, {minLength: 5, maxLength: 40, size: 'max'}), async (isFast, steps) => {
		const model = new RouteModel();
		model.log.isFast = isFast;
		for (const step of steps) {
			applyStep(model, step);
			await setImmediate();
			await setImmediate();
			assert.equal(model.misplaced, undefined);
		}
	}), {numRuns: runs, endOnFailure: true});
});
