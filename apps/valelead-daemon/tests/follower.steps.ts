import assert from 'node:assert/strict';
import {setImmediate} from 'node:timers/promises';
import {create, fromBinary} from '@bufbuild/protobuf';
import {Given, Then, When} from '@cucumber/cucumber';
import {type Clock, type TimerService} from '@valelead/common';
import {
	type LogEntry, type Voter, ConsensusNode, LOG_ENTRY_KIND,
} from '@valelead/consensus';
import {
	type ChannelPool, type FollowerReport, type SessionReport, type SessionUpdate, type UpstreamCrash,
	DirectoryDeltaSchema, FollowerReportSchema, LeaderClient, QuarantineListSchema, RoutingRecordSchema, SessionReportSchema, SessionUpdateSchema,
} from '@valelead/protocol';
import {newDirectory} from '@valelead/discovery';
import {pino} from 'pino';
import {VirtualTime} from '../../../tests/support/virtual-time.js';
import {newProcessTimers} from '../../../tests/support/new-process-timers.js';
import {VirtualProcess} from '../../../tests/support/virtual-process.js';
import {NO_GATEWAY_LEASES} from '../../../tests/support/no-gateway-leases.js';
import {NO_QUARANTINE} from '../../../tests/support/no-quarantine.js';
import {NO_LIMITS} from '../../../tests/support/no-limits.js';
import {NO_QUOTAS} from '../../../tests/support/no-quotas.js';
import {NO_SHARES} from '../../../tests/support/no-shares.js';
import {NO_ROLLOUT} from '../../../tests/support/no-rollout.js';
import {
	FollowerSessions, GatewayLeases, LeaderWatch, SessionClient, encodeCrash, newStandbyControlService,
} from 'valelead-daemon';

/** Returns the reply of a voter to a report; undefined while the voter does not respond. */
type VoterRule = () => Partial<SessionUpdate> | undefined;

type FollowerWorld = {
	time: VirtualTime;
	/** The process of the follower. */
	process: VirtualProcess;
	timers: TimerService;
	clock: Clock;
	voters: Map<string, VoterRule>;
	/** Addresses at which the follower opened sessions. */
	opened: string[];
	/** A voter that is missing from the follower's settings. */
	unlisted: string;
	leaderAddress: string;
	routingVersion: number;
	current: {at: number; address: string} | undefined;
	silentAt: number;
	sessions: FollowerSessions;
	streams: Map<string, FakeStream>;
	isSettled: boolean;
	committed: {version: number; document: string};
	node: {isCurrentLeader: boolean; canRead: boolean; hasRecoveredState: boolean; voters: readonly never[]};
	/** A voter that started from its disk. `applied` is the last entry in its state, `reportedCommitIndex` the commit index that its leader reported. */
	started: ConsensusNode;
	applied: number;
	/** Number of gateways that share budgets, which each gateway reports. */
	gatewayCount: number;
	/** Number of gateways in the replicated log. */
	committedGateways: number;
	/** Runs whose crash the quarantine registry has received. */
	notedRuns: string[];
	reportedCommitIndex: number;
	/** A voter whose LeaderWatch is tested. */
	watched: {leaderAddress: string; readonly record: {readonly id: string}; readonly node: {readonly voters: readonly Voter[]} | undefined};
	watch: LeaderWatch;
	standby: ReturnType<typeof newStandbyControlService>;
	named: SessionUpdate[];
};

const HEARTBEAT_MS = 500;
const RTT_MS = 2;
const STEP_MS = 10;
const NEW_VERSION = 2;

/** Replaces dependencies that the scenario does not use. */
const ignore = (): void => undefined;

/** The leader's side of a session. */
class FakeStream {
	readonly sent: SessionUpdate[] = [];
	readonly on = ignore;

	write(update: SessionUpdate): boolean {
		this.sent.push(update);
		return true;
	}
}

/** A follower's side of a session with a voter of the test. */
class FakeSession {
	readonly #time: VirtualTime;
	/** The process of the follower. */
	readonly #process: VirtualProcess;
	readonly #getAnswer: () => Partial<SessionUpdate> | undefined;
	#onData: (update: SessionUpdate) => void = ignore;
	#onError: () => void = ignore;
	#isOpen = true;

	constructor(time: VirtualTime, process: VirtualProcess, getAnswer: () => Partial<SessionUpdate> | undefined) {
		this.#time = time;
		this.#process = process;
		this.#getAnswer = getAnswer;
	}

	on(event: string, listener: (update: SessionUpdate) => void): void {
		if (event === 'data') {
			this.#onData = listener;
		} else if (event === 'error') {
			this.#onError = listener as () => void;
		}
	}

	write(): boolean {
		this.#time.after(RTT_MS, () => {
			const answer = this.#getAnswer();
			if (answer) {
				this.#process.take(() => {
					if (this.#isOpen) {
						this.#onData(create(SessionUpdateSchema, answer as never));
					}
				});
			}
		});
		return true;
	}

	/** Ends with an error in a later event-loop iteration, as the streams of the gRPC library do. */
	cancel(): void {
		this.#isOpen = false;
		this.#time.after(0, () => {
			this.#onError();
		});
	}

	end(): void {
		this.#isOpen = false;
	}
}

const newWorld = (world: FollowerWorld): void => {
	world.time = new VirtualTime();
	world.process = new VirtualProcess(world.time);
	world.timers = newProcessTimers(world.time, world.process);
	world.clock = {now: () => world.time.now, wallNow: () => world.time.now};
	world.voters = new Map();
	world.routingVersion = 1;
	world.current = undefined;
	world.opened = [];
	world.unlisted = '';
	world.gatewayCount = 1;
};

const LOGGER = pino({level: 'silent'});

/** Creates a channel pool that connects to the voters of the test. */
const newPool = (world: FollowerWorld): ChannelPool => {
	const get = (address: string) => ({
		bidiStream() {
			world.opened.push(address);
			return new FakeSession(world.time, world.process, () => {
				const answer = world.voters.get(address)?.();
				return answer && {voterAddresses: [...world.voters.keys()], ...answer};
			});
		},
	});
	return {get, reset: ignore} as unknown as ChannelPool;
};

const startFollower = (world: FollowerWorld, first: string): void => {
	const pool = newPool(world);
	const leader = new LeaderClient(pool, [first, ...[...world.voters.keys()].filter(address => address !== first && address !== world.unlisted)], world.timers);
	const client = new SessionClient({
		pool,
		leader,
		timers: world.timers,
		clock: world.clock,
		logger: LOGGER,
		heartbeatMs: HEARTBEAT_MS,
		newReport: sentAt => create(SessionReportSchema, {report: {case: 'follower', value: create(FollowerReportSchema, {sentAt})}}),
		onUpdate(update) {
			fromBinary(DirectoryDeltaSchema, update.directory);
			world.routingVersion = Math.max(world.routingVersion, update.routing?.version ?? 0);
			world.current = update.isCurrent ? {at: world.time.now, address: update.leaderAddress} : world.current;
		},
	});
	client.start();
};

const waitWithin = (world: FollowerWorld, since: number, limitMs: number, isMet: () => boolean): void => {
	while (!isMet() && world.time.now < since + limitMs) {
		world.time.advance(STEP_MS);
	}

	assert.ok(isMet(), `not within ${limitMs} ms`);
};

const newRouting = (version: number): Partial<SessionUpdate> => ({routing: create(RoutingRecordSchema, {version, document: ''})});

Given('voters {string} and {string}, of which {string} leads and {string} follows it', function (this: FollowerWorld, first: string, second: string, leader: string, follower: string) {
	newWorld(this);
	assert.deepEqual([first, second], [leader, follower]);
	this.voters.set(leader, () => ({isCurrent: true, leaderAddress: leader}));
	this.voters.set(follower, () => ({isCurrent: false, leaderAddress: leader}));
});

Given('voters {string}, {string} and {string}, of which {string} leads', function (this: FollowerWorld, first: string, second: string, third: string, leader: string) {
	newWorld(this);
	for (const address of [first, second, third]) {
		this.voters.set(address, () => ({isCurrent: address === leader, leaderAddress: leader}));
	}
});

Given('a follower with a session at {string}', function (this: FollowerWorld, address: string) {
	startFollower(this, address);
	this.time.advance(HEARTBEAT_MS + STEP_MS);
	assert.equal(this.current?.address, address);
});

Given('a follower with a session at {string}, which is partitioned and reports no leader', function (this: FollowerWorld, address: string) {
	this.voters.set(address, () => ({isCurrent: false, leaderAddress: ''}));
	this.silentAt = this.time.now;
	startFollower(this, address);
});

/** How long a voter still reports a leader that has stopped responding, in milliseconds. */
const STALE_LEADER_MS = 1450;

const changeLeader = (world: FollowerWorld, old: string, next: string, delayMs: number): void => {
	world.silentAt = world.time.now;
	world.voters.set(old, () => undefined);
	world.voters.set(next, () => {
		const passedMs = world.time.now - world.silentAt;
		if (passedMs >= delayMs) {
			return {isCurrent: true, leaderAddress: next, ...newRouting(NEW_VERSION)};
		}

		return {isCurrent: false, leaderAddress: passedMs < STALE_LEADER_MS ? old : ''};
	});
};

When('{string} stops responding and {string} becomes leader after {int} ms with a newer routing', function (this: FollowerWorld, old: string, next: string, delayMs: number) {
	changeLeader(this, old, next, delayMs);
});

When('{string} sends a directory that cannot be read and {string} becomes leader after {int} ms with a newer routing', function (this: FollowerWorld, old: string, next: string, delayMs: number) {
	changeLeader(this, old, next, delayMs);
	this.voters.set(old, () => ({isCurrent: true, leaderAddress: old, directory: Uint8Array.of(255)}));
});

When('{string} and {string} stop responding right before a report and {string} becomes leader after {int} ms with a newer routing', function (
	this: FollowerWorld,
	old: string,
	other: string,
	next: string,
	delayMs: number,
) {
	this.time.advance(HEARTBEAT_MS - (2 * STEP_MS));
	this.voters.set(other, () => undefined);
	changeLeader(this, old, next, delayMs);
});

When('{string} is suspended for {int} ms and then leads again', function (this: FollowerWorld, address: string, suspendedMs: number) {
	this.silentAt = this.time.now;
	this.current = undefined;
	this.voters.set(address, () => this.time.now - this.silentAt < suspendedMs ? undefined : {isCurrent: true, leaderAddress: address});
});

When('the follower is suspended for {int} ms', function (this: FollowerWorld, suspendedMs: number) {
	this.process.freeze();
	this.time.advance(suspendedMs);
	this.process.thaw();
	this.time.advance(2 * HEARTBEAT_MS);
});

Then('it has opened one session, at {string}', function (this: FollowerWorld, address: string) {
	assert.deepEqual(this.opened, [address]);
	assert.ok(this.time.now - this.current!.at <= HEARTBEAT_MS);
});

When('{string} stops responding and {string} has a newer routing but no leader', function (this: FollowerWorld, old: string, next: string) {
	this.silentAt = this.time.now;
	this.voters.set(old, () => undefined);
	this.voters.set(next, () => ({isCurrent: false, leaderAddress: '', ...newRouting(NEW_VERSION)}));
});

Then('the follower has that routing within {int} ms of the failure', function (this: FollowerWorld, limitMs: number) {
	waitWithin(this, this.silentAt, limitMs, () => this.routingVersion === NEW_VERSION);
});

Then('the follower has a session at {string} within {int} ms of the start/suspension', function (this: FollowerWorld, address: string, limitMs: number) {
	waitWithin(this, this.silentAt, limitMs, () => this.current?.address === address);
});

const report = (world: FollowerWorld, vm: string, routingVersion: number, crashes: UpstreamCrash[] = []): void => {
	world.sessions.handleReport(world.streams.get(vm) as never, create(FollowerReportSchema, {
		vm, role: 'gateway', routingVersion, directoryEpoch: 'e', directoryVersion: 0, crashes, gatewayCount: world.gatewayCount,
	}));
};

const startVoter = (world: FollowerWorld, isLeader: boolean, quarantine = NO_QUARANTINE, gatewayLeases = NO_GATEWAY_LEASES): void => {
	newWorld(world);
	world.committed = {version: 1, document: ''};
	world.streams = new Map();
	world.node = {
		isCurrentLeader: isLeader, canRead: isLeader, hasRecoveredState: isLeader, voters: [],
	};
	const voter = {node: world.node, machine: {routing: world.committed, subscribe: ignore}, leaderAddress: ''};
	const registry = {epoch: 'e', directory: newDirectory()};
	const leases = {note: ignore, getGrants: () => [], getSidecarDelayMs: () => 0};
	world.sessions = new FollowerSessions({
		voter: voter as never, registry, leases: leases as never, quotas: NO_QUOTAS, limits: NO_LIMITS, shares: NO_SHARES, gatewayLeases, quarantine,
		watch: {isOutside: false}, rollout: NO_ROLLOUT, timers: world.timers, clock: world.clock,
	});
};

Given('a leader with followers {string} and {string}', function (this: FollowerWorld, first: string, second: string) {
	startVoter(this, true);
	for (const vm of [first, second]) {
		this.streams.set(vm, new FakeStream());
		report(this, vm, 1);
	}
});

Given('a voter that has started and received nothing from a leader, with a quarantine list and a routing', function (this: FollowerWorld) {
	const list = create(QuarantineListSchema);
	startVoter(this, false, {...NO_QUARANTINE, version: 1, getList: () => list} as unknown as typeof NO_QUARANTINE);
	this.committed.version = NEW_VERSION;
});

Given('a voter that is not the leader yet and decides on quarantines', function (this: FollowerWorld) {
	const list = create(QuarantineListSchema);
	this.notedRuns = [];
	const getNow = (): number => this.time.now;
	const leases = new GatewayLeases({
		clock: {now: getNow, wallNow: getNow}, getTerm: () => this.node.isCurrentLeader ? 2 : 1, getCommittedCount: () => this.committedGateways,
	});
	startVoter(this, false, {
		version: 1,
		note: ({crashes}: FollowerReport) => {
			this.notedRuns.push(...crashes.map(({runId}) => runId));
		},
		getList: () => list,
	} as unknown as typeof NO_QUARANTINE, leases);
	this.gatewayCount = 2;
	this.committedGateways = 0;
});

Given('its log says that {int} gateways follow the leader, and a gateway that has just started knows of none', function (this: FollowerWorld, count: number) {
	this.committedGateways = count;
	this.gatewayCount = 0;
});

When('{string} reports for the first time, with a crash of run {string}', function (this: FollowerWorld, vm: string, runId: string) {
	this.streams.set(vm, new FakeStream());
	report(this, vm, 1, [encodeCrash({runId, suspects: []})]);
});

When('the voter becomes leader', function (this: FollowerWorld) {
	Object.assign(this.node, {isCurrentLeader: true, canRead: true, hasRecoveredState: true});
});

When('the voter becomes leader and sends its followers a newer routing', function (this: FollowerWorld) {
	Object.assign(this.node, {isCurrentLeader: true, canRead: true, hasRecoveredState: true});
	this.committed.version = NEW_VERSION;
	this.sessions.schedulePush();
	this.time.advance(STEP_MS);
});

const hasLease = ({streams}: FollowerWorld, vm: string): boolean | undefined => streams.get(vm)!.sent.findLast(({isCurrent}) => isCurrent)?.isCrashLeaseGranted;

Then('{string} received an update of a leader without a crash lease', function (this: FollowerWorld, vm: string) {
	assert.equal(hasLease(this, vm), false);
});

Then('{string} received an update of a leader with a crash lease', function (this: FollowerWorld, vm: string) {
	assert.equal(hasLease(this, vm), true);
});

Then('its quarantine registry has received the crash of run {string}', function (this: FollowerWorld, runId: string) {
	assert.deepEqual([...new Set(this.notedRuns)], [runId]);
});

When('the leader\'s state falls behind its log', function (this: FollowerWorld) {
	this.node.canRead = false;
});

When('{string} reports for the first time, without a routing', function (this: FollowerWorld, vm: string) {
	this.streams.set(vm, new FakeStream());
	report(this, vm, 0);
});

When('{string} reports for the first time, with an older routing', function (this: FollowerWorld, vm: string) {
	this.streams.set(vm, new FakeStream());
	report(this, vm, 1);
});

When('the leader\'s state has a newer routing and is no longer behind', function (this: FollowerWorld) {
	this.committed.version = NEW_VERSION;
	this.node.canRead = true;
});

When('the voter has applied what a leader committed', function (this: FollowerWorld) {
	this.node.hasRecoveredState = true;
});

const getSentVersions = ({streams}: FollowerWorld, vm: string): number[] => streams.get(vm)!.sent.flatMap(({routing}) => routing ? [routing.version] : []);

Then('{string} was sent no routing', function (this: FollowerWorld, vm: string) {
	assert.deepEqual(getSentVersions(this, vm), []);
});

Then('{string} was sent the newer routing only', function (this: FollowerWorld, vm: string) {
	assert.deepEqual(getSentVersions(this, vm), [NEW_VERSION]);
});

Then('{string} was sent no quarantine list and no routing', function (this: FollowerWorld, vm: string) {
	const {sent} = this.streams.get(vm)!;
	assert.equal(sent.length, 1);
	assert.deepEqual([sent[0].routing, sent[0].quarantine], [undefined, undefined]);
});

Then('{string} was sent the quarantine list and the newer routing', function (this: FollowerWorld, vm: string) {
	assert.deepEqual(getSentVersions(this, vm), [NEW_VERSION]);
	assert.ok(this.streams.get(vm)!.sent.at(-1)?.quarantine);
});

When('a newer routing is committed and the leader waits for its followers', async function (this: FollowerWorld) {
	this.committed.version = NEW_VERSION;
	this.isSettled = false;
	void (async () => {
		await this.sessions.waitForFollowers();
		this.isSettled = true;
	})();

	this.time.advance(STEP_MS);
});

When('{string} confirms', async function (this: FollowerWorld, vm: string) {
	report(this, vm, NEW_VERSION);
	await Promise.resolve();
});

When('{string} reports as before', function (this: FollowerWorld, vm: string) {
	report(this, vm, 1);
});

When('{int} ms pass', async function (this: FollowerWorld, passedMs: number) {
	this.time.advance(passedMs);
	await Promise.resolve();
});

Then('the leader is still waiting', function (this: FollowerWorld) {
	assert.equal(this.isSettled, false);
});

Then('the leader is no longer waiting', function (this: FollowerWorld) {
	assert.equal(this.isSettled, true);
});

Then('{string} was sent the routing once and nothing after its confirmation', function (this: FollowerWorld, vm: string) {
	const {sent} = this.streams.get(vm)!;
	assert.equal(sent.filter(update => update.routing !== undefined).length, 1);
	assert.equal(sent.at(-1)?.routing?.version, NEW_VERSION);
	assert.equal(sent.at(-1)?.isReportWanted, true);
});

When('the versions {int} to {int} are committed {int} ms apart, and {string} confirms none', function (this: FollowerWorld, first: number, last: number, gapMs: number, _vm: string) {
	for (let version = first; version <= last; version += 1) {
		this.committed.version = version;
		this.sessions.schedulePush();
		this.time.advance(gapMs);
	}
});

When('{string} confirms the last routing that it was sent', function (this: FollowerWorld, vm: string) {
	report(this, vm, getSentVersions(this, vm).at(-1)!);
	this.time.advance(STEP_MS);
});

Then('{string} was sent {int} routings at most', function (this: FollowerWorld, vm: string, limit: number) {
	const versions = getSentVersions(this, vm);
	assert.ok(versions.length <= limit, `was sent the versions ${versions.join(', ')}`);
});

Then('the last routing that {string} was sent is version {int}', function (this: FollowerWorld, vm: string, version: number) {
	assert.equal(getSentVersions(this, vm).at(-1), version);
});

Then('{string} receives the confirmation that its routing is the newest: {word}', function (this: FollowerWorld, vm: string, word: string) {
	assert.equal(this.streams.get(vm)!.sent.at(-1)!.isRoutingConfirmed, word === 'yes');
});

/** The term of all entries, before and after the restart. */
const TERM = 3;

const MEMBERS: readonly Voter[] = ['a', 'b', 'c'].map(id => ({
	id, vm: id, address: id, isLearner: false,
}));

const newEntries = (first: number, last: number): LogEntry[] => Array.from({length: last - first + 1}, (_value, position) => ({
	index: first + position, term: TERM, kind: LOG_ENTRY_KIND.Command, data: '',
}));

Given('a voter that starts from its disk with {int} log entries, of which its last snapshot contains {int}', function (this: FollowerWorld, entries: number, held: number) {
	newWorld(this);
	this.applied = held;
	const take = (index: number): void => {
		this.applied = index;
	};

	this.started = new ConsensusNode({
		id: 'a',
		vm: 'a',
		hardState: {term: TERM, votedFor: undefined},
		snapshot: {
			index: held, term: TERM, voters: MEMBERS, data: 'snapshot',
		},
		entries: newEntries(held + 1, entries),
	}, {
		settings: {heartbeatMs: 200, electionTimeoutMs: 700},
		clock: this.clock,
		suspensions: {resumedAt: Number.NEGATIVE_INFINITY},
		processStartedAt: 0,
		timers: this.timers,
		storage: {
			load: async () => undefined, create: async () => undefined, persist: async () => undefined, close: async () => undefined,
		},
		transport: {send: ignore},
		machine: {apply: take, restore: take, save: () => ''},
		onFailure(error) {
			throw error;
		},
		snapshotEvery: 1000,
		random: () => 0,
	});
});

const sendAppend = async (world: FollowerWorld, previousIndex: number, entries: readonly LogEntry[], commitIndex: number): Promise<void> => {
	world.started.receive({id: 'b', address: 'b'}, {
		kind: 'appendRequest', term: TERM, previousIndex, previousTerm: TERM, entries, commitIndex, sentAt: 0,
	});
	// Waits for the write to the disk.
	await setImmediate();
};

When('its leader reports that {int} entries are committed', async function (this: FollowerWorld, commitIndex: number) {
	this.reportedCommitIndex = commitIndex;
	await sendAppend(this, this.applied + 2, [], commitIndex);
});

When('its leader sends the entries from {int} to {int}', async function (this: FollowerWorld, first: number, last: number) {
	await sendAppend(this, first - 1, newEntries(first, last), this.reportedCommitIndex);
});

Then('the voter has applied up to entry {int} and does not know what was acknowledged', function (this: FollowerWorld, index: number) {
	assert.deepEqual([this.applied, this.started.hasRecoveredState], [index, false]);
});

Then('the voter has applied up to entry {int} and knows what was acknowledged', function (this: FollowerWorld, index: number) {
	assert.deepEqual([this.applied, this.started.hasRecoveredState], [index, true]);
});

const newOutsideReply: VoterRule = () => ({isCurrent: false, leaderAddress: '', isOutside: true});

Given('{string} and {string} report no leader and that they are outside the quorum', function (this: FollowerWorld, first: string, second: string) {
	this.voters.set(first, newOutsideReply);
	this.voters.set(second, newOutsideReply);
});

Given('{string}, {string} and {string} report no leader and that they are outside the quorum', function (this: FollowerWorld, first: string, second: string, third: string) {
	for (const address of [first, second, third]) {
		this.voters.set(address, newOutsideReply);
	}
});

When('a follower starts with {string}', function (this: FollowerWorld, address: string) {
	this.silentAt = this.time.now;
	startFollower(this, address);
});

When('{string} leads from now on', function (this: FollowerWorld, address: string) {
	this.silentAt = this.time.now;
	this.voters.set(address, () => ({isCurrent: true, leaderAddress: address}));
});

Then('the follower has opened between {int} and {int} sessions', function (this: FollowerWorld, least: number, most: number) {
	assert.ok(this.opened.length >= least && this.opened.length <= most, String(this.opened.length));
});

const MEMBERSHIPS: Readonly<Record<string, {readonly voters: readonly Voter[]} | undefined>> = {
	'without a quorum': undefined,
	'that is no member of the quorum': {voters: MEMBERS.slice(1)},
	'that is a learner': {voters: [{...MEMBERS[0], isLearner: true}, ...MEMBERS.slice(1)]},
	'that is a member of the quorum': {voters: MEMBERS},
};

Given('a voter {string} that started, with an election timeout of {int} ms', function (this: FollowerWorld, which: string, timeoutMs: number) {
	newWorld(this);
	assert.ok(which in MEMBERSHIPS);
	this.watched = {leaderAddress: '', record: {id: MEMBERS[0].id}, node: MEMBERSHIPS[which]};
	this.watch = new LeaderWatch({
		voter: this.watched as never, electionTimeoutMs: timeoutMs, clock: this.clock, timers: this.timers,
	});
	this.watch.start();
});

When('it follows a leader for {int} ms and none for the next {int} ms', function (this: FollowerWorld, followingMs: number, leaderlessMs: number) {
	this.watched.leaderAddress = followingMs > 0 ? 'b' : '';
	this.time.advance(followingMs);
	this.watched.leaderAddress = leaderlessMs > 0 ? '' : this.watched.leaderAddress;
	this.time.advance(leaderlessMs);
});

Then('it reports that it is outside the quorum: {word}', function (this: FollowerWorld, word: string) {
	assert.equal(this.watch.isOutside, word === 'yes');
});

Given('voters {string}, {string}, {string} and {string}, of which {string} leads and is not in the list', function (
	this: FollowerWorld,
	first: string,
	second: string,
	third: string,
	fourth: string,
	leader: string,
) {
	newWorld(this);
	for (const address of [first, second, third, fourth]) {
		this.voters.set(address, () => ({isCurrent: address === leader, leaderAddress: leader}));
	}

	this.unlisted = leader;
});

Then('it has opened one session each at {string}, {string}, {string} and {string}', function (this: FollowerWorld, first: string, second: string, third: string, fourth: string) {
	assert.deepEqual(this.opened, [first, second, third, fourth]);
});

Given('a controller without a disk that finds the leader {string}', function (this: FollowerWorld, leader: string) {
	this.standby = newStandbyControlService({find: async () => leader} as never);
});

When('a follower reports to it', async function (this: FollowerWorld) {
	let report = ignore;
	this.named = [];
	(this.standby.session as unknown as (stream: object) => void)({
		on(event: string, listener: () => void) {
			report = event === 'data' ? listener : report;
		},
		write: (update: SessionUpdate) => this.named.push(update),
		end: ignore,
	});
	report();
	await setImmediate();
});

Then('it reports the leader {string} and that it is outside the quorum: {word}', function (this: FollowerWorld, leader: string, word: string) {
	assert.deepEqual(this.named.map(({leaderAddress, isOutside}) => [leaderAddress, isOutside]), [[leader, word === 'yes']]);
});

Given('voters {string}, {string}, {string} and {string}, of which {string} leads', function (
	this: FollowerWorld,
	first: string,
	second: string,
	third: string,
	fourth: string,
	leader: string,
) {
	newWorld(this);
	for (const address of [first, second, third, fourth]) {
		this.voters.set(address, () => ({isCurrent: address === leader, leaderAddress: leader}));
	}
});

When('{string} and {string} stop responding, and {string} and {string} are outside the quorum until the former becomes leader after {int} ms with a newer routing', function (
	this: FollowerWorld,
	first: string,
	second: string,
	third: string,
	fourth: string,
	delayMs: number,
) {
	this.silentAt = this.time.now;
	for (const address of [first, second]) {
		this.voters.set(address, () => undefined);
	}

	for (const address of [third, fourth]) {
		this.voters.set(address, () => this.time.now - this.silentAt < delayMs
			? newOutsideReply()
			: {isCurrent: address === third, leaderAddress: third, ...newRouting(NEW_VERSION)});
	}
});
