import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {CrashSimulation} from './crash-simulation.js';
import {
	type CrashLedger,
	type CrashWatch,
	SUSPECT_PHASE,
	getCrashScore,
	getReplacedRuns,
	mutateBrokenConnection,
	mutateCrash,
	mutateEndedRun,
	mutateReleasedRequest,
	mutateServedRequest,
	mutateQuarantinedRequests,
	newCrashLedger,
	newCrashWatch,
} from '@valelead/quarantine';

type RequestCrash = {
	readonly at: number;
	readonly sentAt: number;
};

type QuarantineWorld = {
	quarantining: CrashSimulation[];
	unprotected: CrashSimulation[];
	ledger: CrashLedger | undefined;
	watch: CrashWatch;
	replaced: string[];
};

const DECISIVE_CRASHES = 3;
const LATE_MS = 1500;
const ADDRESS = '10.0.0.1:80';

const split = (text: string): string[] => text.split(', ');

/**
 * Counts crashes by attempts that were sent more than `LATE_MS` after the decisive crash: half of the time within which all gateways must know
 * the decision.
 */
const getLateCrashes = (crashes: readonly RequestCrash[]): number => {
	const decidedAt = crashes[DECISIVE_CRASHES - 1]?.at ?? Number.POSITIVE_INFINITY;
	return crashes.filter(({sentAt}) => sentAt > decidedAt + LATE_MS).length;
};

const simulateSeeds = (crashingCount: number, from: number, to: number, isQuarantineEnabled: boolean): CrashSimulation[] => Array.from({length: to - from + 1}, (_, index) => {
	const simulation = new CrashSimulation({seed: from + index, crashingCount, isQuarantineEnabled});
	simulation.simulate();
	return simulation;
});

When('{int} crashing requests are sent repeatedly for 40 seconds with seeds {int} to {int}', {timeout: 120_000}, function (this: QuarantineWorld, crashingCount: number, from: number, to: number) {
	this.quarantining = simulateSeeds(crashingCount, from, to, true);
	this.unprotected = simulateSeeds(crashingCount, from, from + 4, false);
});

Then('no harmless request is quarantined', function (this: QuarantineWorld) {
	assert.deepEqual(this.quarantining.flatMap(simulation => [...simulation.quarantined].filter(name => name.startsWith('innocent'))), []);
});

Then('at most {int} engines crash on attempts that were sent more than 1.5 s after the third crash on the same request', function (this: QuarantineWorld, most: number) {
	const late = this.quarantining.flatMap(simulation => [...simulation.crashes.values()].map(crashes => getLateCrashes(crashes)));
	assert.ok(Math.max(...late) <= most, `${Math.max(...late)}`);
});

Then('crashing requests crash at most {float} engines each on average, and none more than {int}', function (this: QuarantineWorld, mean: number, most: number) {
	const counts = this.quarantining.flatMap(simulation => [...simulation.crashes.values()].map(crashes => crashes.length));
	const found = counts.reduce((sum, count) => sum + count, 0) / counts.length;
	assert.ok(found <= mean, `${found} in the mean`);
	assert.ok(Math.max(...counts) <= most, `${Math.max(...counts)} at most`);
});

const getServedShare = (models: readonly CrashSimulation[]): number =>
	models.reduce((sum, simulation) => sum + simulation.served, 0) / models.reduce((sum, simulation) => sum + simulation.arrived, 0);

Then('at least {float} of the harmless requests are served, and at most {float} without quarantine', function (this: QuarantineWorld, share: number, without: number) {
	assert.ok(getServedShare(this.quarantining) >= share, `${getServedShare(this.quarantining)}`);
	assert.ok(getServedShare(this.unprotected) <= without, `${getServedShare(this.unprotected)}`);
});

const recordCrash = (world: QuarantineWorld, runId: string, names: readonly string[]): void => {
	world.ledger ??= newCrashLedger();
	mutateCrash(world.ledger, {runId, suspects: names.map(fingerprint => ({fingerprint, phase: SUSPECT_PHASE.Begun}))}, 0);
	mutateQuarantinedRequests(world.ledger, names);
};

Given('crashes of runs {string} with requests {string} in progress', function (this: QuarantineWorld, runs: string, names: string) {
	for (const runId of split(runs)) {
		recordCrash(this, runId, split(names));
	}
});

Given('a crash of run {string} with request {string} in progress', function (this: QuarantineWorld, runId: string, name: string) {
	// The step only records the crash, which weighs more than one shared with other requests; a later step makes the quarantine decision.
	mutateCrash(this.ledger!, {runId, suspects: [{fingerprint: name, phase: SUSPECT_PHASE.Begun}]}, 0);
});

Given('a request {string} that was answered completely', function (this: QuarantineWorld, name: string) {
	this.ledger = newCrashLedger();
	mutateServedRequest(this.ledger, name, 0);
});

When('an upstream answers {string} completely', function (this: QuarantineWorld, name: string) {
	mutateServedRequest(this.ledger!, name, 0);
});

When('{string} is released by an operator', function (this: QuarantineWorld, name: string) {
	mutateReleasedRequest(this.ledger!, name, false);
});

When('the quarantine of {string} expires', function (this: QuarantineWorld, name: string) {
	mutateReleasedRequest(this.ledger!, name, true);
	assert.equal(this.ledger!.quarantined.has(name), false);
});

Then('the crash score of {string} is {int} and that of {string} is {int}', function (this: QuarantineWorld, first: string, score: number, second: string, otherScore: number) {
	assert.equal(getCrashScore(this.ledger!, first), score);
	assert.equal(getCrashScore(this.ledger!, second), otherScore);
});

Then('{string} is quarantined', function (this: QuarantineWorld, name: string) {
	mutateQuarantinedRequests(this.ledger!, [name]);
	assert.ok(this.ledger!.quarantined.has(name));
});

Then('{string} is not quarantined', function (this: QuarantineWorld, name: string) {
	mutateQuarantinedRequests(this.ledger!, [name]);
	assert.equal(this.ledger!.quarantined.has(name), false);
});

When('a connection to run {string} breaks with request {string} in progress', function (this: QuarantineWorld, runId: string, fingerprint: string) {
	this.watch = newCrashWatch();
	mutateBrokenConnection(this.watch, {runId, address: ADDRESS, suspect: {fingerprint, phase: SUSPECT_PHASE.Running}}, 0);
});

When('another run announces itself at another address', function (this: QuarantineWorld) {
	this.replaced = getReplacedRuns(this.watch, [{id: 'a', address: ADDRESS}, {id: 'z', address: '10.0.0.2:80'}]);
});

When('another run announces itself at the address of {string}', function (this: QuarantineWorld, _runId: string) {
	this.replaced = getReplacedRuns(this.watch, [{id: 'z', address: ADDRESS}]);
});

Then('no run has crashed', function (this: QuarantineWorld) {
	assert.deepEqual(this.replaced, []);
});

Then('run {string} has crashed with request {string} in progress', function (this: QuarantineWorld, runId: string, fingerprint: string) {
	assert.deepEqual(this.replaced, [runId]);
	const run = mutateEndedRun(this.watch, runId)!;
	assert.deepEqual([...run.suspects.keys()], [fingerprint]);
	assert.equal(mutateEndedRun(this.watch, runId), undefined);
});
