import assert from 'node:assert/strict';
import {create} from '@bufbuild/protobuf';
import {Given, Then, When} from '@cucumber/cucumber';
import type {TimerService} from '@valelead/common';
import {
	type Directory, mutateAnnouncement, mutateManagerAddress, newDirectory,
} from '@valelead/discovery';
import {FollowerReportSchema, HeldLeaseSchema} from '@valelead/protocol';
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
import {FollowerSessions, OrderLeases} from 'valelead-daemon';

type LeasesWorld = {
	time: VirtualTime;
	timers: TimerService;
	node: {isCurrentLeader: boolean; canRead: boolean; term: number; voters: readonly never[]};
	directory: Directory;
	leases: OrderLeases;
	sessions: FollowerSessions;
	/** Session streams, by VM of the gateway. */
	streams: Map<string, object>;
	/** VM of the gateway that reports that it is stopping; empty if there is none. */
	stopping: string;
};

const SERVICE = 'llm';
const REPORT_MS = 500;
const FENCES_PER_TERM = 65_536;

/** Stub for dependencies that these scenarios do not use. */
const ignore = (): void => undefined;

const report = (world: LeasesWorld, attendedEngines: string[] = []): void => {
	for (const [vm, stream] of world.streams) {
		const leases = world.leases.getGrants(vm).map(lease => create(HeldLeaseSchema, lease));
		world.sessions.handleReport(stream as never, create(FollowerReportSchema, {
			vm, role: 'gateway', directoryEpoch: 'e', keeperAddress: vm, isStopping: vm === world.stopping, attendedEngines, leases,
		}));
	}
};

const addStream = (world: LeasesWorld, vm: string): void => {
	world.streams.set(vm, {on: ignore, write: () => true});
};

Given('a leader of term {int} with engine {string} and a session of gateway {string}', function (this: LeasesWorld, term: number, engine: string, vm: string) {
	this.time = new VirtualTime();
	this.timers = newVirtualTimers(this.time);
	this.node = {
		isCurrentLeader: true, canRead: true, term, voters: [],
	};
	this.directory = newDirectory();
	mutateAnnouncement(this.directory, newUpstream(engine, {service: SERVICE}), 0);
	const voter = {node: this.node, machine: {routing: undefined, subscribe: ignore}};
	const registry = {
		epoch: 'e',
		directory: this.directory,
		setManager: (address: string, keeperAddress: string) => {
			mutateManagerAddress(this.directory, address, keeperAddress);
		},
	};
	const clock = {now: () => this.time.now, wallNow: () => this.time.now};
	this.leases = new OrderLeases({
		voter: voter as never,
		registry: registry as never,
		getEngineServices: () => new Set([SERVICE]),
		settings: {orderGapMs: 3000},
		timers: this.timers,
		clock,
		logger: pino({level: 'silent'}),
	});
	this.sessions = new FollowerSessions({
		voter: voter as never, registry, leases: this.leases, quarantine: NO_QUARANTINE, quotas: NO_QUOTAS, limits: NO_LIMITS, shares: NO_SHARES, gatewayLeases: NO_GATEWAY_LEASES,
		watch: {isOutside: false}, rollout: NO_ROLLOUT, timers: this.timers, clock,
	});
	this.streams = new Map();
	this.stopping = '';
	addStream(this, vm);
	this.leases.start();
	report(this);
});

When('{int} ms pass with reports', function (this: LeasesWorld, passedMs: number) {
	for (let passed = 0; passed < passedMs; passed += REPORT_MS) {
		this.time.advance(REPORT_MS);
		report(this);
	}
});

When('gateway {string} joins and {string} reports that it is stopping', function (this: LeasesWorld, joining: string, stopping: string) {
	addStream(this, joining);
	this.stopping = stopping;
});

When('{string} reports that it has reached the sidecar of {string}', function (this: LeasesWorld, _vm: string, engine: string) {
	report(this, [engine]);
});

When('the leader is elected again, in term {int}', function (this: LeasesWorld, term: number) {
	this.node.term = term;
});

When('the leader loses its lease', function (this: LeasesWorld) {
	this.node.isCurrentLeader = false;
});

Then('{string} is granted {string} with a fence of term {int}', function (this: LeasesWorld, vm: string, engine: string, term: number) {
	const [lease] = this.leases.getGrants(vm);
	assert.equal(lease.engineAddress, engine);
	assert.equal(Math.floor(lease.fence / FENCES_PER_TERM), term);
});

Then('{string} is granted nothing', function (this: LeasesWorld, vm: string) {
	assert.deepEqual(this.leases.getGrants(vm), []);
});

Then('the directory names {string} as the manager of {string}', function (this: LeasesWorld, keeper: string, engine: string) {
	assert.equal(this.directory.entries.get(engine)?.upstream.keeperAddress, keeper);
});

Then('the directory names no manager of {string}', function (this: LeasesWorld, engine: string) {
	assert.equal(this.directory.entries.get(engine)?.upstream.keeperAddress, '');
});
