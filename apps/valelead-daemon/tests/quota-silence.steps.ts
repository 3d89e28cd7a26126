import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {simulateQuotaFleet} from './quota-fleet.js';

type FleetOptions = Parameters<typeof simulateQuotaFleet>[0];
type FleetResult = ReturnType<typeof simulateQuotaFleet>;

type SilenceWorld = {
	options: Omit<FleetOptions, 'seed' | 'hasReserve'>;
	results: FleetResult[];
};

const SEEDS = [1, 2];

/** The silence begins once the buckets of all teams are full. */
const SILENT_FROM_MS = 60_000;

const TIMEOUT_MS = 120_000;

const simulate = (options: SilenceWorld['options'], hasReserve: boolean): FleetResult[] => SEEDS.map(seed => simulateQuotaFleet({...options, seed, hasReserve}));

/** Returns the share of the requests of a phase that were refused although the quota allowed them. */
const getRefusedShare = (results: readonly FleetResult[], phase: keyof FleetResult['counts']): number => {
	let sent = 0;
	let refused = 0;
	for (const {counts} of results) {
		sent += counts[phase].sent;
		refused += counts[phase].exceededBelow + counts[phase].unknownBelow;
	}

	assert.ok(sent > 0);
	return refused / sent;
};

When('the leader is silent for {int} ms while team {int} sends {int} times its usual rate', {timeout: TIMEOUT_MS}, function (
	this: SilenceWorld,
	durationMs: number,
	surgingTeam: number,
	surge: number,
) {
	this.options = {silence: {from: SILENT_FROM_MS, durationMs}, surge, surgingTeam};
	this.results = simulate(this.options, true);
});

When('{int} gateways are restarted while the leader is silent for {int} ms and team {int} sends {int} times its usual rate', {timeout: TIMEOUT_MS}, function (
	this: SilenceWorld,
	restarts: number,
	durationMs: number,
	surgingTeam: number,
	surge: number,
) {
	this.results = simulate({
		silence: {from: SILENT_FROM_MS, durationMs}, surge, surgingTeam, restarts,
	}, true);
});

Then('at most {float} of the requests during the silence are refused below the quota, and at most {float} of those before it', function (this: SilenceWorld, silent: number, calm: number) {
	const refused = {silent: getRefusedShare(this.results, 'silent'), calm: getRefusedShare(this.results, 'calm')};
	assert.ok(refused.silent <= silent && refused.calm <= calm, JSON.stringify(refused));
});

Then('no team exceeds its quota and the tolerance in any window', function (this: SilenceWorld) {
	for (const {maxBoundShare} of this.results) {
		assert.ok(maxBoundShare <= 1, `${maxBoundShare}`);
	}
});

Then('gateways without large stocks refuse at least {float} times as many requests below the quota during the silence', {timeout: TIMEOUT_MS}, function (this: SilenceWorld, factor: number) {
	const refused = {large: getRefusedShare(this.results, 'silent'), small: getRefusedShare(simulate(this.options, false), 'silent')};
	assert.ok(refused.small >= refused.large * factor, JSON.stringify(refused));
});
