import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {create} from '@bufbuild/protobuf';
import {Given, Then, When} from '@cucumber/cucumber';
import {OUTCOME, RESULT_CODE} from '@valelead/common';
import {mutateIntent, newIntent} from '@valelead/intent';
import {FollowerReportSchema, QuarantineListSchema} from '@valelead/protocol';
import {type SuspectPhaseValue, type WatchedRun, SUSPECT_PHASE} from '@valelead/quarantine';
import {pino} from 'pino';
import {VirtualTime} from '../../../tests/support/virtual-time.js';
import {newUpstream} from '../../../tests/support/new-upstream.js';
import {newVirtualTimers} from '../../../tests/support/new-virtual-timers.js';
import {
	type FollowerSession, type GatewayRequest, CONNECTION_STATE, CrashGuard, GatewayLeases, DeferredFailures, QuarantineRegistry, QuarantineRollout, RequestQuarantine, encodeCrash,
} from 'valelead-daemon';

type RegistryParts = ConstructorParameters<typeof QuarantineRegistry>[0];

type QuarantineWorld = {
	time: VirtualTime;
	gateway: RequestQuarantine;
	/** Time at which the gateway last received an update from a leader, in milliseconds. */
	leaderHeardAt: number;
	registry: QuarantineRegistry;
	rollout: QuarantineRollout;
	sessions: Map<string, FollowerSession>;
	losses: DeferredFailures;
	isReported: boolean;
	guard: CrashGuard;
	isLast: boolean | undefined;
	isLeading: boolean;
};

const MS_PER_SECOND = 1000;
const PHASES: Readonly<Record<string, SuspectPhaseValue>> = {unanswered: SUSPECT_PHASE.Unanswered, begun: SUSPECT_PHASE.Begun, running: SUSPECT_PHASE.Running};

const NO_SUSPENSION = {resumedAt: Number.NEGATIVE_INFINITY, lostMs: 0};

const splitNames = (text: string): string[] => text.split(', ').filter(name => name !== '');

/** Returns a fingerprint that contains the name of the request, so that failures are easy to read. */
const toFingerprint = (name: string): string => Buffer.from(name.padEnd(16, '.')).toString('hex');

const toBytes = (name: string): Uint8Array => Uint8Array.from(Buffer.from(toFingerprint(name), 'hex'));

const newClock = (time: VirtualTime) => ({now: () => time.now, wallNow: () => time.now});

const newRun = (runId: string, names: readonly string[], phase: SuspectPhaseValue): WatchedRun => ({
	runId,
	address: '10.0.0.1:80',
	since: 0,
	suspects: new Map(names.map(name => [toFingerprint(name), {fingerprint: toFingerprint(name), phase}])),
	isCrashed: true,
});

const startGateway = (world: QuarantineWorld, heardAt: number, gatewayCount = 1): void => {
	world.time = new VirtualTime();
	world.leaderHeardAt = heardAt;
	world.gateway = new RequestQuarantine({
		clock: newClock(world.time),
		timers: newVirtualTimers(world.time),
		logger: pino({level: 'silent'}),
		getLeaderAgeMs: () => world.time.now - world.leaderHeardAt,
		onQuarantined: () => undefined,
		onCrashReportDue: () => undefined,
		onCrashesKnown: () => undefined,
		onCrashesObeyed: () => undefined,
		suspensions: NO_SUSPENSION,
		getGatewayCount: () => gatewayCount,
	});
};

/** Creates a replicated log whose commits take `commitMs`. */
const newLog = (time: VirtualTime, commitMs: number): RegistryParts['voter'] => {
	const intent = newIntent();
	const listeners: Array<() => void> = [];
	return {
		node: {term: 1, isCurrentLeader: true},
		machine: {
			intent,
			subscribe(listener) {
				listeners.push(listener);
			},
		},
		propose: async proposal => new Promise(resolve => {
			time.after(commitMs, () => {
				const {revision} = mutateIntent(intent, proposal);
				for (const listener of listeners) {
					listener();
				}

				resolve({code: RESULT_CODE.Ok, message: '', revision});
			});
		}),
	};
};

const startLeader = (world: QuarantineWorld, commitMs: number): void => {
	world.time = new VirtualTime();
	world.registry = new QuarantineRegistry({
		voter: newLog(world.time, commitMs),
		clock: newClock(world.time),
		timers: newVirtualTimers(world.time),
		logger: pino({level: 'silent'}),
		getPauseThreshold: () => undefined,
		onChange: () => undefined,
	});
	world.registry.start();
};

/** Advances virtual time in steps of 10 ms and runs pending promise callbacks after each step. */
const advance = async ({time}: QuarantineWorld, ms: number): Promise<void> => {
	for (let passed = 0; passed < ms; passed += 10) {
		time.advance(10);
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
};

const reportCrashes = (world: QuarantineWorld, vm: string, crashes: readonly WatchedRun[], served: readonly string[]): void => {
	world.registry.note(create(FollowerReportSchema, {
		vm, crashes: crashes.map(({runId, suspects}) => encodeCrash({runId, suspects: [...suspects.values()]})), served: served.map(name => toBytes(name)),
	}));
};

const getQuarantined = ({registry}: QuarantineWorld): string[] => registry.getList().quarantined.map(({fingerprint}) => Buffer.from(fingerprint).toString('hex'));

Given('a gateway with a leader', function (this: QuarantineWorld) {
	startGateway(this, 0);
});

Given('a gateway with a leader, one of {int} gateways', function (this: QuarantineWorld, gatewayCount: number) {
	startGateway(this, 0, gatewayCount);
});

Given('a gateway without a leader', function (this: QuarantineWorld) {
	startGateway(this, Number.NEGATIVE_INFINITY);
});

When('the gateway sees runs {string} crash under requests {string} that were {word}', function (this: QuarantineWorld, runs: string, names: string, phase: string) {
	for (const runId of splitNames(runs)) {
		this.gateway.noteCrash(newRun(runId, splitNames(names), PHASES[phase]));
		this.time.advance(20);
	}
});

const receiveList = (world: QuarantineWorld, suspected: readonly string[]): void => {
	world.leaderHeardAt = world.time.now;
	world.gateway.applyQuarantine(create(QuarantineListSchema, {suspected: suspected.map(name => toBytes(name))}), true);
	world.gateway.noteReported(world.time.now, true);
};

When('the gateway sees {int} crashes under {string}, and its leader knows of them', function (this: QuarantineWorld, count: number, name: string) {
	for (let index = 0; index < count; index += 1) {
		this.gateway.noteCrash(newRun(`run ${index}`, [name], SUSPECT_PHASE.Unanswered));
		this.time.advance(1);
	}

	receiveList(this, []);
});

When('the leader has the gateway\'s reports and suspects no request', function (this: QuarantineWorld) {
	receiveList(this, []);
});

When('the leader has the gateway\'s reports and suspects {string}', function (this: QuarantineWorld, name: string) {
	receiveList(this, [name]);
});

When('a voter that is not the leader sends its list', function (this: QuarantineWorld) {
	this.gateway.applyQuarantine(create(QuarantineListSchema, {}), false);
});

When('the gateway has no contact with the leader for {int} seconds', function (this: QuarantineWorld, seconds: number) {
	this.time.advance(seconds * MS_PER_SECOND);
});

Then('the gateway does not quarantine {string}', function (this: QuarantineWorld, name: string) {
	assert.equal(this.gateway.getRemainingMs(toFingerprint(name)), 0);
});

Then('the gateway quarantines {string}', function (this: QuarantineWorld, name: string) {
	assert.ok(this.gateway.getRemainingMs(toFingerprint(name)) > 0);
});

When('a leader without the reports of all gateways sends its list', function (this: QuarantineWorld) {
	this.gateway.applyQuarantine(create(QuarantineListSchema, {}), true);
	this.gateway.noteReported(this.time.now, false);
});

Then('the gateway sends {string}', function (this: QuarantineWorld, name: string) {
	assert.equal(this.gateway.getRefusal(toFingerprint(name)), undefined);
});

Then('the gateway refuses {string} for now, and sends {string}', function (this: QuarantineWorld, name: string, other: string) {
	const refusal = this.gateway.getRefusal(toFingerprint(name));
	assert.equal(refusal?.code, RESULT_CODE.RequestSuspected);
	assert.ok(refusal.retryAfterMs > 0);
	assert.equal(this.gateway.getRefusal(toFingerprint(other)), undefined);
});

Given('a newly elected leader', function (this: QuarantineWorld) {
	startLeader(this, 0);
});

Given('a leader that has led for {int} seconds without a crash', async function (this: QuarantineWorld, seconds: number) {
	startLeader(this, 0);
	await advance(this, seconds * MS_PER_SECOND);
});

Given('a leader that has led for {int} seconds, whose decisions are committed at once', async function (this: QuarantineWorld, seconds: number) {
	startLeader(this, 0);
	reportCrashes(this, 'two', [newRun('other', ['other'], SUSPECT_PHASE.Begun)], []);
	await advance(this, seconds * MS_PER_SECOND);
});

Given('a leader that has led for {int} seconds, whose decisions are committed after {int} ms', async function (this: QuarantineWorld, seconds: number, commitMs: number) {
	startLeader(this, commitMs);
	reportCrashes(this, 'two', [newRun('other', ['other'], SUSPECT_PHASE.Begun)], []);
	await advance(this, seconds * MS_PER_SECOND);
});

When('gateway {string} reports crashes of runs {string} under requests {string} that were {word}', function (this: QuarantineWorld, vm: string, runs: string, names: string, phase: string) {
	reportCrashes(this, vm, splitNames(runs).map(runId => newRun(runId, splitNames(names), PHASES[phase])), []);
});

When('gateways {string} report no crash', function (this: QuarantineWorld, names: string) {
	for (const vm of splitNames(names)) {
		reportCrashes(this, vm, [], []);
	}
});

When('{int} seconds pass, and gateway {string} reports {int} other crashes', async function (this: QuarantineWorld, seconds: number, vm: string, count: number) {
	await advance(this, seconds * MS_PER_SECOND);
	const runs = Array.from({length: count}, (_, index) => newRun(`other ${index}`, [`o${index}`], SUSPECT_PHASE.Begun));
	reportCrashes(this, vm, runs, []);
	await advance(this, MS_PER_SECOND);
});

When('gateway {string} reports that {string} was answered', function (this: QuarantineWorld, vm: string, name: string) {
	reportCrashes(this, vm, [], [name]);
});

Then('the leader quarantines {string}', function (this: QuarantineWorld, name: string) {
	assert.deepEqual(getQuarantined(this), [toFingerprint(name)]);
});

Then('the leader quarantines no request', function (this: QuarantineWorld) {
	assert.deepEqual(getQuarantined(this), []);
});

const checkQuarantined = (world: QuarantineWorld, quarantined: string, free: string): void => {
	assert.deepEqual(getQuarantined(world), splitNames(quarantined).map(name => toFingerprint(name)));
	assert.ok(!getQuarantined(world).includes(toFingerprint(free)));
};

Then('the leader quarantines {string} and not {string}', function (this: QuarantineWorld, kept: string, free: string) {
	checkQuarantined(this, kept, free);
	Object.assign(this, {kept, free});
});

Then('it still does {int} seconds later', async function (this: QuarantineWorld & {kept: string; free: string}, seconds: number) {
	await advance(this, seconds * MS_PER_SECOND);
	checkQuarantined(this, this.kept, this.free);
});

Then('{int} second later the leader quarantines {string} and not {string}', async function (this: QuarantineWorld, seconds: number, kept: string, free: string) {
	await advance(this, seconds * MS_PER_SECOND);
	checkQuarantined(this, kept, free);
});

Given('a leader that has led for {int} seconds and hears gateways {string}', async function (this: QuarantineWorld, seconds: number, names: string) {
	startLeader(this, 0);
	reportCrashes(this, 'two', [newRun('other', ['other'], SUSPECT_PHASE.Begun)], []);
	await advance(this, seconds * MS_PER_SECOND);
	this.sessions = new Map(splitNames(names).map(vm => [vm, {
		vm, heardAt: this.time.now, quarantineConfirmed: 0, crashesKnownUntil: 0, crashesObeyedUntil: 0,
	} as unknown as FollowerSession]));
	const leases = new GatewayLeases({clock: newClock(this.time), getTerm: () => 1, getCommittedCount: () => 0});
	for (const session of this.sessions.values()) {
		leases.noteReport(session);
	}

	this.rollout = new QuarantineRollout({
		clock: newClock(this.time),
		timers: newVirtualTimers(this.time),
		isLeading: () => this.isLeading,
		getVersion: () => this.registry.version,
		getGateways: () => [...this.sessions.values()],
		hasStaleGateway: version => leases.hasStaleGateway(version),
		onProgress: () => undefined,
	});
	this.isLeading = true;
});

When('gateway {string} reports crashes of runs {string} under request {string}', function (this: QuarantineWorld, vm: string, runs: string, name: string) {
	const crashes = splitNames(runs).map(runId => encodeCrash({runId, suspects: [{fingerprint: toFingerprint(name), phase: SUSPECT_PHASE.Begun}]}));
	const report = create(FollowerReportSchema, {vm, sentAt: this.time.now, crashes});
	this.registry.note(report);
	this.rollout.noteReport(this.sessions.get(vm)!, report);
});

When('gateways {string} confirm the list', function (this: QuarantineWorld, names: string) {
	for (const vm of splitNames(names)) {
		const session = this.sessions.get(vm)!;
		session.heardAt = this.time.now;
		session.quarantineConfirmed = this.registry.version;
	}

	this.rollout.checkPending();
});

When('the leader is deposed', function (this: QuarantineWorld) {
	this.isLeading = false;
});

When('{int} ms pass without a report', async function (this: QuarantineWorld, ms: number) {
	await advance(this, ms);
});

Then('gateway "one" is not told that all gateways know of the crashes', function (this: QuarantineWorld) {
	assert.equal(this.sessions.get('one')!.crashesKnownUntil, 0);
});

Then('gateway "one" is told that all gateways know of the crashes', function (this: QuarantineWorld) {
	assert.ok(this.sessions.get('one')!.crashesKnownUntil > 0);
});

Then('gateway "one" is not told that no gateway is unaware of the crashes', function (this: QuarantineWorld) {
	assert.equal(this.sessions.get('one')!.crashesObeyedUntil, 0);
});

Then('gateway "one" is told that no gateway is unaware of the crashes', function (this: QuarantineWorld) {
	this.rollout.checkPending();
	assert.ok(this.sessions.get('one')!.crashesObeyedUntil > 0);
});

const deferFailure = (world: QuarantineWorld, isCrashed: boolean): void => {
	world.time = new VirtualTime();
	world.isReported = false;
	world.losses = new DeferredFailures(newVirtualTimers(world.time), newClock(world.time));
	world.losses.defer({runId: 'a', isCrashed, maxDeferMs: 500}, () => {
		world.isReported = true;
	});
	world.time.advance(50);
	world.losses.releaseKnown(isCrashed ? -1 : world.time.now);
	assert.equal(world.isReported, false, 'the failure is held at first');
};

Given('a failed attempt at run "a", which is known to have crashed', function (this: QuarantineWorld) {
	deferFailure(this, true);
});

Given('a failed attempt at run "a", which is found crashed later', function (this: QuarantineWorld) {
	deferFailure(this, false);
	this.losses.markCrashed('a');
});

Given('a failed attempt at run "a", which is found alive later', function (this: QuarantineWorld) {
	deferFailure(this, false);
});

When('all gateways know of the crash', function (this: QuarantineWorld) {
	this.losses.releaseKnown(this.time.now);
});

When('its port is found open', function (this: QuarantineWorld) {
	this.losses.releaseAlive('a');
});

When('500 ms pass without an event', function (this: QuarantineWorld) {
	this.time.advance(500);
});

Then('the failure is reported', function (this: QuarantineWorld) {
	assert.ok(this.isReported);
});

const startGuard = (world: QuarantineWorld, isPortRefused: boolean, isStalled = false): void => {
	world.time = new VirtualTime();
	world.guard = new CrashGuard({
		clock: newClock(world.time),
		timers: newVirtualTimers(world.time),
		logger: pino({level: 'silent'}),
		stalls: {isStalled},
		getLeaderAgeMs: () => 0,
		suspensions: NO_SUSPENSION,
		getGatewayCount: () => 1,
		isPortRefused: async () => isPortRefused,
		onCrash: () => undefined,
		onCrashReportDue: () => undefined,
		onQuarantined: () => undefined,
	});
	world.guard.exchange.noteReported(world.time.now, true);
};

Given('a gateway whose upstreams crash under requests', function (this: QuarantineWorld) {
	startGuard(this, true);
});

Given('a gateway whose upstreams go on listening', function (this: QuarantineWorld) {
	startGuard(this, false);
});

Given('a gateway whose upstreams go on listening, and that was suspended', function (this: QuarantineWorld) {
	startGuard(this, false, true);
});

When('a request that was {word} loses its upstream', async function (this: QuarantineWorld, phase: string) {
	const request = {head: {id: 'try', sharedSegments: []}, fingerprint: toFingerprint('some')} as unknown as GatewayRequest;
	const upstream = newUpstream('a', {address: '10.0.0.1:80'});
	this.guard.noteEnd(request, upstream, {
		code: RESULT_CODE.UpstreamFailed, outcome: OUTCOME.Unknown, reason: 'reset', connection: CONNECTION_STATE.Broken, phase: PHASES[phase],
	}, isLast => {
		this.isLast = isLast;
	});
	await advance(this, 3 * MS_PER_SECOND);
});

Then('it is given another upstream', function (this: QuarantineWorld) {
	assert.equal(this.isLast, false);
});

Then('it is not given another upstream', function (this: QuarantineWorld) {
	assert.equal(this.isLast, true);
});
