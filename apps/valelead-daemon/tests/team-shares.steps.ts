import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {pino} from 'pino';
import {create} from '@bufbuild/protobuf';
import {type TeamDispatches, TeamDispatchesSchema} from '@valelead/protocol';
import {OrderSimulation, type RequestKind} from '../../../packages/admission/tests/order-simulation.js';
import {GATEWAYS, TeamFleet} from './team-fleet.js';
import {TeamShares} from 'valelead-daemon';

type FleetOptions = ConstructorParameters<typeof TeamFleet>[0];

type LogLine = {
	readonly event: string;
	readonly teams: ReadonlyArray<{readonly team: string; readonly ahead: number; readonly others: number}>;
};

type SharesWorld = {
	options: FleetOptions;
	fleet: TeamFleet;
	/** The gateways through which the small team comes. */
	smallGateways: number[];
	simulation: OrderSimulation;
	shares: TeamShares;
	now: number;
	/** Time that the gateway's clock missed in suspensions, in milliseconds. */
	lostMs: number;
	lastReport: TeamDispatches[];
	logged: LogLine[];
};

const MS_PER_SECOND = 1000;
const HEARTBEAT_MS = 500;
/** Requests a second that the slots of a gateway serve. */
const GATEWAY_CAPACITY = 10;

const TIMEOUT_MS = 120_000;

/** Time after which all requests have ended. */
const PATIENCE_MS = 4000;

const newKind = (team: string, perSecond: number): RequestKind => ({
	kind: team, team, model: 'a', rank: 0, objectiveMs: 1006, patienceMs: PATIENCE_MS, perSecond,
});

const FLOOD = newKind('large', 12);
const SMALL = newKind('small', 0);

const setGateway = (world: SharesWorld, teams: readonly string[]): void => {
	world.simulation = new OrderSimulation({
		slots: 1, startMs: 10, endMs: 20, isOrderedByLatestStart: true,
	});
	const table: Readonly<Record<string, unknown>> = {teams: new Map(teams.map(team => [team, {}]))};
	world.now = 0;
	world.lostMs = 0;
	world.logged = [];
	world.shares = new TeamShares({
		state: world.simulation.state,
		getTable: () => table as never,
		clock: {now: () => world.now, wallNow: () => world.now},
		suspensions: {
			get lostMs() {
				return world.lostMs;
			},
		},
		logger: pino({}, {
			write(line) {
				world.logged.push(JSON.parse(line) as LogLine);
			},
		}),
	});
};

const getAhead = ({simulation: {state}}: SharesWorld, team: string): number => (state.teams.get(team)?.virtualTime ?? 0) - state.virtualTime;

const sendUpdate = (world: SharesWorld, count: number): void => {
	world.shares.handleUpdate({totals: {term: 1, teams: [create(TeamDispatchesSchema, {team: 'large', count})]}, reportedAt: -1});
};

Given('gateways that exchange what they have dispatched', function (this: SharesWorld) {
	this.options = {isShared: true};
});

Given('gateways that exchange nothing', function (this: SharesWorld) {
	this.options = {isShared: false};
});

Given('the leader is silent for {int} ms from {int} ms on, and another one follows', function (this: SharesWorld, durationMs: number, from: number) {
	this.options = {...this.options, silence: {from, durationMs}};
});

Given('a gateway without requests', function (this: SharesWorld) {
	setGateway(this, ['large', 'small']);
});

Given('a gateway that has dispatched {int} requests of the large team', function (this: SharesWorld, count: number) {
	setGateway(this, ['large', 'small']);
	for (let sent = 0; sent < count; sent += 1) {
		this.simulation.arrive(FLOOD);
	}

	this.simulation.run(HEARTBEAT_MS);
	this.now = HEARTBEAT_MS;
});

Given('a gateway without teams that has dispatched {int} requests', function (this: SharesWorld, count: number) {
	setGateway(this, []);
	for (let sent = 0; sent < count; sent += 1) {
		this.simulation.arrive({...FLOOD, team: ''});
	}

	this.simulation.run(HEARTBEAT_MS);
	this.now = HEARTBEAT_MS;
	assert.equal(this.simulation.dispatched.length, count);
});

When('the large team floods {int} gateways for {int} s while the small team sends {int} a second through each of {int}', {timeout: TIMEOUT_MS}, function (
	this: SharesWorld,
	flooded: number,
	seconds: number,
	perSecond: number,
	few: number,
) {
	this.fleet = new TeamFleet(this.options);
	this.smallGateways = Array.from({length: few}, (_, index) => index);
	this.fleet.run(seconds * MS_PER_SECOND, index => [...(index < flooded ? [FLOOD] : []), ...(index < few ? [newKind('small', perSecond)] : [])]);
	this.fleet.run(PATIENCE_MS + MS_PER_SECOND, () => []);
});

When('other gateways dispatch {int} requests a second of the large team for {int} s', function (this: SharesWorld, perSecond: number, seconds: number) {
	sendUpdate(this, 0);
	for (let at = HEARTBEAT_MS; at <= seconds * MS_PER_SECOND; at += HEARTBEAT_MS) {
		this.now = at;
		sendUpdate(this, perSecond * at / MS_PER_SECOND);
	}
});

When('{int} requests of the small team and then {int} of the large team arrive at the gateway', function (this: SharesWorld, small: number, large: number) {
	for (let sent = 0; sent < small; sent += 1) {
		this.simulation.arrive({...SMALL, objectiveMs: 60_000, patienceMs: 60_000});
	}

	for (let sent = 0; sent < large; sent += 1) {
		this.simulation.arrive({...FLOOD, objectiveMs: 60_000, patienceMs: 60_000});
	}

	this.simulation.run((small + large) * 50);
});

When('an update after {int} ms and a suspension of {int} ms tells of {int} dispatches of the large team by other gateways', function (
	this: SharesWorld,
	passedMs: number,
	suspendedMs: number,
	count: number,
) {
	sendUpdate(this, 0);
	this.now = passedMs;
	this.lostMs = suspendedMs;
	sendUpdate(this, count);
	assert.ok(getAhead(this, 'large') > 0);
});

When('its first update tells of {int} dispatches of the large team by other gateways', function (this: SharesWorld, count: number) {
	this.now = HEARTBEAT_MS;
	sendUpdate(this, count);
});

When('{int} requests of the small team and then {int} of the large team arrive, and updates tell each {int} ms for {int} ms of {int} dispatches of the large team', function (
	this: SharesWorld,
	small: number,
	large: number,
	stepMs: number,
	forMs: number,
	count: number,
) {
	for (let sent = 0; sent < small + large; sent += 1) {
		this.simulation.arrive({...(sent < small ? SMALL : FLOOD), objectiveMs: 60_000, patienceMs: 60_000});
	}

	let total = 0;
	for (let at = 0; at < forMs; at += stepMs) {
		this.now = at;
		sendUpdate(this, total);
		total += count;
	}
});

When('it reports in a session whose leader does not answer, and then in a new one', function (this: SharesWorld) {
	this.shares.getReport(this.now, true);
	this.now += HEARTBEAT_MS;
	this.lastReport = this.shares.getReport(this.now, true);
});

When('a leader acknowledges the last report, and the gateway reports in a new session', function (this: SharesWorld) {
	this.shares.handleUpdate({totals: undefined, reportedAt: this.now});
	this.now += HEARTBEAT_MS;
	this.lastReport = this.shares.getReport(this.now, true);
});

Then('at least {int} of 100 requests of the small team are in time', function (this: SharesWorld, least: number) {
	const share = this.fleet.getShareInTime('small', this.smallGateways) * 100;
	assert.ok(share >= least, `${share.toFixed(1)} of 100`);
});

Then('fewer than {int} of 100 requests of the small team are in time', function (this: SharesWorld, most: number) {
	const share = this.fleet.getShareInTime('small', this.smallGateways) * 100;
	assert.ok(share < most, `${share.toFixed(1)} of 100`);
});

Then('at least {int} of 100 requests of the large team are in time', function (this: SharesWorld, least: number) {
	const share = this.fleet.getShareInTime('large', [...this.fleet.gateways.keys()]) * 100;
	assert.ok(share >= least, `${share.toFixed(1)} of 100`);
});

Then('no team is ahead by more than the dispatches of {float} s', function (this: SharesWorld, seconds: number) {
	const perSecond = GATEWAYS * GATEWAY_CAPACITY;
	assert.ok(this.fleet.maxAhead > 0 && this.fleet.maxAhead <= perSecond * seconds, `${this.fleet.maxAhead.toFixed(0)} ahead, ${perSecond} a second`);
});

Then('the gateways count at most {float} times what the others have dispatched', function (this: SharesWorld, most: number) {
	for (const {shares} of this.fleet.gateways) {
		for (const {team, own, others} of shares.counts) {
			const dispatched = this.fleet.getDispatched(team) - own;
			assert.ok(others <= dispatched * most, `${others.toFixed(0)} of ${dispatched} of the ${team} team`);
		}
	}
});

Then('the request of the large team is among the first {int} that are dispatched', function (this: SharesWorld, most: number) {
	const position = this.simulation.dispatched.findIndex(id => id.startsWith('large')) + 1;
	assert.ok(position > 0 && position <= most, `at position ${position}`);
});

Then('the large team is ahead by at most {int}', function (this: SharesWorld, most: number) {
	const ahead = getAhead(this, 'large');
	assert.ok(ahead <= most, `${ahead.toFixed(1)} ahead`);
});

Then('the last report tells of {int} dispatches of the large team', function (this: SharesWorld, count: number) {
	assert.deepEqual(this.lastReport.map(report => [report.team, report.count]), [['large', count]]);
});

Then('the last report tells of nothing', function (this: SharesWorld) {
	assert.deepEqual(this.lastReport, []);
});

Then('{int} log lines {string} name both teams, with the large team ahead from the second on', function (this: SharesWorld, count: number, event: string) {
	const lines = this.logged.filter(line => line.event === event);
	assert.equal(lines.length, count);
	// The first line is logged before any dispatch of another gateway is known.
	for (const [index, {teams}] of lines.entries()) {
		const [large, small] = ['large', 'small'].map(name => teams.find(({team}) => team === name)!);
		assert.ok(index === 0 || large.ahead > small.ahead, `${large.ahead} and ${small.ahead}`);
	}
});
