import assert from 'node:assert/strict';
import {create, fromBinary} from '@bufbuild/protobuf';
import {Given, Then, When} from '@cucumber/cucumber';
import type {Clock, TimerService} from '@valelead/common';
import {
	type DirectoryCopy, type Upstream, type UpstreamChange, UPSTREAM_STATE, mutateDirectoryCopy, newDirectoryCopy,
} from '@valelead/discovery';
import {type SessionUpdate, DirectoryDeltaSchema, FollowerReportSchema} from '@valelead/protocol';
import * as fc from 'fast-check';
import {pino} from 'pino';
import {VirtualTime} from '../../../tests/support/virtual-time.js';
import {newVirtualTimers} from '../../../tests/support/new-virtual-timers.js';
import {NO_GATEWAY_LEASES} from '../../../tests/support/no-gateway-leases.js';
import {NO_QUARANTINE} from '../../../tests/support/no-quarantine.js';
import {NO_LIMITS} from '../../../tests/support/no-limits.js';
import {NO_QUOTAS} from '../../../tests/support/no-quotas.js';
import {NO_SHARES} from '../../../tests/support/no-shares.js';
import {NO_ROLLOUT} from '../../../tests/support/no-rollout.js';
import {newUpstream} from '../../../tests/support/new-upstream.js';
import {FollowerSessions, UpstreamRegistry} from 'valelead-daemon';

/** The follower's end of a session stream, with the follower's copy of the directory. */
type FakeFollower = {
	readonly vm: string;
	readonly copy: DirectoryCopy;
	readonly write: (update: SessionUpdate) => boolean;
	readonly on: () => void;
	sent: number;
};

type UpdatesWorld = {
	time: VirtualTime;
	timers: TimerService;
	registry: UpstreamRegistry;
	sessions: FollowerSessions;
	followers: FakeFollower[];
	engines: Upstream[];
	leaseHolders: Map<string, string>;
	/** Distinct encoded deltas that were sent. */
	deltas: Set<Uint8Array>;
	/** Number of messages sent, by virtual time in milliseconds. */
	messagesByTime: Map<number, number>;
};

const REPORT_MS = 500;
const SWAP_MS = 500;
const SETTLE_MS = 3000;
const STEP_MS = 1;

const newEngine = (index: number): Upstream => newUpstream(`i-${index}`, {
	address: `10.0.0.${index}:80`, models: [{name: 'm0', version: 1, adapters: []}], copiesOnDisk: [`m${index}`],
});

const applyUpdate = (world: UpdatesWorld, follower: FakeFollower, update: SessionUpdate): void => {
	follower.sent += 1;
	world.messagesByTime.set(world.time.now, (world.messagesByTime.get(world.time.now) ?? 0) + 1);
	world.deltas.add(update.directory);
	const delta = fromBinary(DirectoryDeltaSchema, update.directory);
	mutateDirectoryCopy(follower.copy, {...delta, upstreams: delta.upstreams as unknown as UpstreamChange[]}, world.time.now);
};

const report = ({sessions}: UpdatesWorld, follower: FakeFollower): void => {
	sessions.handleReport(follower as never, create(FollowerReportSchema, {
		vm: follower.vm, role: 'gateway', directoryEpoch: follower.copy.epoch, directoryVersion: follower.copy.version,
	}));
};

const announce = (world: UpdatesWorld, index: number, changes: Partial<Upstream>): void => {
	const {sequence} = world.engines[index];
	world.engines[index] = {...world.engines[index], ...changes, sequence: sequence + 1};
	world.registry.announce(world.engines[index]);
};

const addFollower = (world: UpdatesWorld, index: number): void => {
	const follower: FakeFollower = {
		vm: `follower-${index}`,
		copy: newDirectoryCopy(),
		write(update) {
			applyUpdate(world, follower, update);
			return true;
		},
		on: () => undefined,
		sent: 0,
	};
	world.followers.push(follower);
	// The reports of different followers are spread over the report interval.
	world.time.after(index % REPORT_MS, () => {
		report(world, follower);
		world.timers.repeat(REPORT_MS, () => {
			report(world, follower);
		});
	});
};

const resetCounters = (world: UpdatesWorld): void => {
	world.deltas.clear();
	world.messagesByTime.clear();
	for (const follower of world.followers) {
		follower.sent = 0;
	}
};

const start = (world: UpdatesWorld, followers: number, engines: number): void => {
	world.time = new VirtualTime();
	world.timers = newVirtualTimers(world.time);
	const getNow = (): number => world.time.now;
	const clock: Clock = {now: getNow, wallNow: getNow};
	const voter = {
		record: {id: 'v'}, node: {
			term: 1, isCurrentLeader: true, canRead: true, voters: [],
		}, machine: {routing: undefined, withdrawals: new Map(), subscribe: () => undefined},
	};
	world.leaseHolders = new Map();
	world.deltas = new Set();
	world.messagesByTime = new Map();
	world.followers = [];
	world.registry = new UpstreamRegistry({
		voter: voter as never,
		getServices: () => undefined,
		clock,
		timers: world.timers,
		logger: pino({level: 'silent'}),
		announceMs: 60_000,
		onChange() {
			world.sessions.schedulePush();
		},
		onEngineModels(upstream) {
			world.sessions.sendToLeaseHolder(upstream);
		},
	});
	const leases = {
		note: () => undefined, getGrants: () => [], getSidecarDelayMs: () => 0, getLeaseHolder: (address: string) => world.leaseHolders.get(address),
	};
	world.sessions = new FollowerSessions({
		voter: voter as never, registry: world.registry, leases: leases as never, quarantine: NO_QUARANTINE, quotas: NO_QUOTAS, limits: NO_LIMITS, shares: NO_SHARES, gatewayLeases: NO_GATEWAY_LEASES,
		watch: {isOutside: false}, rollout: NO_ROLLOUT, timers: world.timers, clock,
	});
	world.sessions.start();
	world.engines = Array.from({length: engines}, (_, index) => newEngine(index));
	for (let index = 0; index < followers; index += 1) {
		addFollower(world, index);
	}

	for (let index = 0; index < engines; index += 1) {
		announce(world, index, {});
	}

	world.time.advance(SETTLE_MS);
	resetCounters(world);
};

Given('a leader with {int} followers and {int} engines', function (this: UpdatesWorld, followers: number, engines: number) {
	start(this, followers, engines);
});

Given('follower {int} manages engine {int}', function (this: UpdatesWorld, follower: number, engine: number) {
	const {address} = this.engines[engine];
	this.leaseHolders.set(address, `follower-${follower}`);
	this.registry.setManager(address, '10.9.9.9:1');
	this.time.advance(SETTLE_MS);
	resetCounters(this);
});

When('the engines swap models for {int} seconds', function (this: UpdatesWorld, seconds: number) {
	for (const index of this.engines.keys()) {
		let swaps = 0;
		this.time.after((index * SWAP_MS) / this.engines.length, () => {
			this.timers.repeat(SWAP_MS, () => {
				swaps += 1;
				announce(this, index, {models: [{name: `m${swaps}`, version: 1, adapters: []}]});
			});
		});
	}

	this.time.advance(seconds * 1000);
});

When('an engine announces that it is draining', function (this: UpdatesWorld) {
	announce(this, 0, {state: UPSTREAM_STATE.Draining});
	this.time.advance(STEP_MS);
});

When('engine {int} announces model {string}', function (this: UpdatesWorld, engine: number, model: string) {
	announce(this, engine, {models: [{name: model, version: 1, adapters: []}]});
});

Then('each follower was sent at most {int} messages', function (this: UpdatesWorld, most: number) {
	for (const {vm, sent} of this.followers) {
		assert.ok(sent <= most, `${vm}: ${sent}`);
	}
});

Then('the directory was encoded at most {int} times', function (this: UpdatesWorld, most: number) {
	assert.ok(this.deltas.size <= most, String(this.deltas.size));
});

Then('each follower has the change within {int} ms', function (this: UpdatesWorld, limitMs: number) {
	this.time.advance(limitMs - STEP_MS);
	for (const {vm, copy} of this.followers) {
		assert.equal(copy.upstreams.get('i-0')?.upstream.state, UPSTREAM_STATE.Draining, vm);
	}
});

Then('follower {int} has the change within {int} ms', function (this: UpdatesWorld, index: number, limitMs: number) {
	this.time.advance(limitMs);
	assert.deepEqual(this.followers[index].copy.upstreams.get('i-3')?.upstream.models.map(model => model.name), ['other']);
});

Then('no other follower has the change', function (this: UpdatesWorld) {
	// The followers still receive replies to their reports, but none of these contains the change yet.
	const informed = this.followers.filter(({copy}) => copy.upstreams.get('i-3')?.upstream.models[0].name === 'other');
	assert.equal(informed.length, 1);
});

Then('no iteration of the event loop sent more than {int} messages', function (this: UpdatesWorld, most: number) {
	this.time.advance(100);
	assert.ok(Math.max(...this.messagesByTime.values()) <= most + 1, String(Math.max(...this.messagesByTime.values())));
});

/** Returns one line with the state, models and copies of each upstream, in sorted order. */
const getSummaries = (upstreams: readonly Upstream[]): string[] => upstreams
	.map(({id, state, models, copiesOnDisk}) => JSON.stringify([id, state, models.map(model => model.name), copiesOnDisk]))
	.sort();

When('{int} random sequences of announcements, drains and reports are run', function (this: UpdatesWorld, count: number) {
	const step = fc.record({
		engine: fc.nat(5), models: fc.subarray(['a', 'b', 'c']), disk: fc.subarray(['x', 'y', 'z']), isDraining: fc.boolean(), ms: fc.nat(900),
	});
	fc.assert(fc.property(fc.array(step, {maxLength: 30}), steps => {
		start(this, 4, 6);
		for (const {engine, models, disk, isDraining, ms} of steps) {
			announce(this, engine, {
				models: models.map(name => ({name, version: 1, adapters: []})), copiesOnDisk: disk, state: isDraining && engine === 0 ? UPSTREAM_STATE.Draining : this.engines[engine].state,
			});
			this.time.advance(ms);
		}

		this.time.advance(SETTLE_MS);
		const expected = getSummaries([...this.registry.directory.entries.values()].map(({upstream}) => upstream));
		for (const {copy} of this.followers) {
			assert.deepEqual(getSummaries([...copy.upstreams.values()].map(({upstream}) => upstream)), expected);
		}
	}), {numRuns: count, seed: 5});
});

Then('each follower has the same directory as the leader', () => undefined);
