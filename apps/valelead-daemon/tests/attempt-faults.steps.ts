import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {OUTCOME, RESULT_CODE} from '@valelead/common';
import {type Route, ROUTE_KIND} from '@valelead/routing';
import {newProcessTimers} from '../../../tests/support/new-process-timers.js';
import {newUpstream} from '../../../tests/support/new-upstream.js';
import {VirtualProcess} from '../../../tests/support/virtual-process.js';
import {VirtualTime} from '../../../tests/support/virtual-time.js';
import {newPlainRequest} from './new-plain-request.js';
import {newPlainTable} from './new-plain-table.js';
import {newSimulatedDispatcher} from './new-simulated-dispatcher.js';
import {
	type CallerCodec, type RequestDispatcher, type ResponseWriter, newGatewayAdmission,
} from 'valelead-daemon';

type RequestEnd = {
	readonly code: number;
	readonly outcome: string;
};

type FaultsWorld = {
	time: VirtualTime;
	dispatcher: RequestDispatcher;
	/** Ids of the requests for which starting an attempt throws. */
	faulty: Set<string>;
	/** Upstreams at which starting an attempt throws. */
	brokenUpstreams: Set<string>;
	/** True if starting only the first attempt of such a request throws. */
	isSecondStarted: boolean;
	/** Attempts that were started, by request. */
	sent: Map<string, number>;
	/** Requests in progress at each upstream. */
	busy: Map<string, number>;
	ends: Map<string, RequestEnd>;
	thrown: unknown[];
};

const UPSTREAMS = ['a', 'b'];
const SERVICE = 's';
const SERVICE_MS = 20;
const ARRIVAL_MS = 2;
const ALL = 100;

const ROUTE: Route = {
	name: 'r', host: 'h', pathPrefix: '/', kind: ROUTE_KIND.Idempotent, isOpen: true, isResumable: false, timeoutMs: 60_000, objectiveMs: 400, pauseObjectiveMs: 300, callerPatienceMs: 60_000,
	priority: 0, maxAttempts: 2, shares: [{service: SERVICE, weight: 1}],
};

const CODEC = {newUpstreamHeaders: () => []} as unknown as CallerCodec;

const ignore = (): void => undefined;

/** Starts an attempt that is answered after a while, or throws as libraries do. */
const startAttempt = (world: FaultsWorld, {requestId, upstreamId, events}: Parameters<ConstructorParameters<typeof RequestDispatcher>[0]['newAttempt']>[0]) => {
	if (world.brokenUpstreams.has(upstreamId) || world.faulty.has(requestId)) {
		if (world.isSecondStarted) {
			world.faulty.delete(requestId);
		}

		throw new RangeError('Port should be >= 0 and < 65536.');
	}

	world.sent.set(requestId, (world.sent.get(requestId) ?? 0) + 1);
	world.busy.set(upstreamId, world.busy.get(upstreamId)! + 1);
	world.time.after(SERVICE_MS, () => {
		world.busy.set(upstreamId, world.busy.get(upstreamId)! - 1);
		events.onHead({statusCode: 200, headers: {'content-length': '0'}, rawHeaders: ['content-length', '0']});
		events.onEnd();
	});
	return {
		requestId, upstreamId, startedAt: world.time.now, isSent: true, isAnswered: false, isConnectionReused: false, cancel: ignore, fail: ignore,
	};
};

const startGateway = (world: FaultsWorld, {ids = UPSTREAMS, slots = 4, hasRetries = true}): void => {
	world.time = new VirtualTime();
	world.faulty = new Set();
	world.brokenUpstreams = new Set();
	world.isSecondStarted = false;
	world.sent = new Map();
	world.busy = new Map(ids.map(id => [id, 0]));
	world.ends = new Map();
	world.thrown = [];
	const table = newPlainTable(ROUTE);
	const admission = newGatewayAdmission({
		dataCentre: 'z', ratio: hasRetries ? 1 : 0, reserve: hasRetries ? 1000 : 0, windowMs: 1000, gatewayCount: 1, countedSince: -1000, isUnspent: true,
	});
	world.dispatcher = newSimulatedDispatcher(world.time, {
		timers: newProcessTimers(world.time, new VirtualProcess(world.time)),
		getSettings: () => admission,
		codec: CODEC,
		origins: undefined as never,
		getTable: () => table,
		getGatewayCount: () => 1,
		random: () => 0.5,
		newAttempt: terms => startAttempt(world, terms),
		onEnd({head}, code, outcome) {
			world.ends.set(head.id, {code, outcome});
		},
	});
	world.dispatcher.takeDirectory(ids.map(id => newUpstream(id, {service: SERVICE, slots})));
};

Given('a gateway with two upstreams that serve {int} requests at a time', function (this: FaultsWorld, slots: number) {
	startGateway(this, {slots});
});

Given('a gateway with two upstreams that serve {int} requests at a time, and no retry budget', function (this: FaultsWorld, slots: number) {
	startGateway(this, {slots, hasRetries: false});
});

Given('a gateway with {int} upstreams that serve {int} requests at a time each', function (this: FaultsWorld, count: number, slots: number) {
	startGateway(this, {ids: Array.from({length: count}, (_, index) => `u${index}`), slots});
});

Given('a gateway without upstreams', function (this: FaultsWorld) {
	startGateway(this, {ids: []});
});

const arrive = ({dispatcher, time}: FaultsWorld, id: string, answer?: Partial<ResponseWriter>): void => {
	dispatcher.arrive(newPlainRequest({
		id, route: ROUTE, arrivedAt: time.now, answer,
	}));
};

/** Runs virtual time until nothing is left, and notes what the callbacks of the gateway throw. */
const runUntil = (world: FaultsWorld, endsAt: number): void => {
	while (world.time.now < endsAt) {
		try {
			world.time.advance(1);
		} catch (error) {
			world.thrown.push(error);
		}
	}
};

When('{int} requests arrive, and starting an attempt throws at {int} of the upstreams', function (this: FaultsWorld, count: number, faulty: number) {
	this.brokenUpstreams = new Set([...this.busy.keys()].slice(0, faulty));
	for (let index = 0; index < count; index += 1) {
		this.time.after(index * ARRIVAL_MS, () => {
			arrive(this, `r${index}`);
		});
	}

	runUntil(this, 30_000);
});

When('all places are taken and {int} requests wait for which starting an attempt throws', function (this: FaultsWorld, count: number) {
	for (let index = 0; index < 8; index += 1) {
		arrive(this, `r${index}`);
	}

	for (let index = 0; index < count; index += 1) {
		this.faulty.add(`f${index}`);
		arrive(this, `f${index}`);
	}

	runUntil(this, 5000);
});

When('{int} requests arrive, and starting an attempt throws for {int} of 100 of them', function (this: FaultsWorld, count: number, share: number) {
	for (let index = 0; index < count; index += 1) {
		const id = `r${index}`;
		if (index * 37 % ALL < share) {
			this.faulty.add(id);
		}

		this.time.after(Math.floor(index / UPSTREAMS.length) * ARRIVAL_MS, () => {
			arrive(this, id);
		});
	}

	runUntil(this, 30_000);
});

Then('nothing is thrown into the turns of the gateway', function (this: FaultsWorld) {
	assert.deepEqual(this.thrown, []);
});

Then('each of these requests is refused as not run with 3013, and nothing of it was sent', function (this: FaultsWorld) {
	for (const id of this.faulty) {
		assert.deepEqual(this.ends.get(id), {code: RESULT_CODE.AttemptNotStarted, outcome: OUTCOME.NotRun}, id);
		assert.equal(this.sent.has(id), false, id);
	}
});

Then('each other request is sent once and served', function (this: FaultsWorld) {
	const others = [...this.ends].filter(([id]) => !this.faulty.has(id));
	assert.equal(this.ends.size, 400);
	for (const [id, {code}] of others) {
		assert.equal(code, RESULT_CODE.Ok, id);
		assert.equal(this.sent.get(id), 1, id);
	}
});

Then('both upstreams have all their places free', function (this: FaultsWorld) {
	assert.equal(this.dispatcher.inProgress, 0);
	this.faulty.clear();
	for (let index = 0; index < 8; index += 1) {
		arrive(this, `later-${index}`);
	}

	assert.deepEqual([...this.busy.values()], [4, 4]);
});

When('{int} requests arrive, {int} at a time, and the first attempt of each throws', function (this: FaultsWorld, count: number, atATime: number) {
	this.isSecondStarted = true;
	for (let index = 0; index < count; index += 1) {
		const id = `r${index}`;
		this.faulty.add(id);
		arrive(this, id);
		assert.equal(this.sent.get(id), 1, id);
		if ((index + 1) % atATime === 0) {
			this.time.advance(SERVICE_MS);
		}
	}
});

Then('each of them is served in the turn of its arrival', function (this: FaultsWorld) {
	assert.equal(this.dispatcher.inProgress, 0);
	assert.deepEqual(new Set([...this.ends.values()].map(({code}) => code)), new Set([RESULT_CODE.Ok]));
});

When('{int} requests reach their deadline at once, and refusing the first of them throws', function (this: FaultsWorld, count: number) {
	const faultyAnswer = {
		refuse() {
			throw new TypeError('Invalid character in header content');
		},
	};
	for (let index = 0; index < count; index += 1) {
		arrive(this, `r${index}`, index === 0 ? faultyAnswer : undefined);
	}

	runUntil(this, ROUTE.timeoutMs + 1000);
});

Then('one error is thrown into the turns of the gateway', function (this: FaultsWorld) {
	assert.equal(this.thrown.length, 1);
});

Then('the other {int} requests are refused as not run with {int}', function (this: FaultsWorld, count: number, code: number) {
	assert.deepEqual([...this.ends.values()], Array.from({length: count}, () => ({code, outcome: OUTCOME.NotRun})));
});

When('the gateway stops at once, and {int} requests arrive after that', function (this: FaultsWorld, count: number) {
	this.dispatcher.stop(this.time.now);
	this.dispatcher.abortAll(RESULT_CODE.Draining);
	for (let index = 0; index < count; index += 1) {
		arrive(this, `r${index}`);
	}
});

Then('the {int} requests are refused as not run with {int}, and nothing of them was sent', function (this: FaultsWorld, count: number, code: number) {
	assert.deepEqual([...this.ends.values()], Array.from({length: count}, () => ({code, outcome: OUTCOME.NotRun})));
	assert.equal(this.sent.size, 0);
});
