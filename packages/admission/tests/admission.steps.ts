import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
	type AdmissionEffect, type AdmissionEvent, type AdmissionSettings, type AdmissionState, mutateAdmission, newAdmissionState,
} from '@valelead/admission';

type AdmissionWorld = {
	state: AdmissionState;
	now: number;
	dispatched: string[];
	refused: Array<Extract<AdmissionEffect, {kind: 'refuse'}>>;
	nextId: number;
};

const SETTINGS: AdmissionSettings = {
	maxAttempts: 3, retryTokensPerRequest: 0.1, maxRetryTokens: 10, failuresBeforeEjection: 3, baseEjectionMs: 500, maxEjectionMs: 8000, refusedTargetAvoidMs: 50, creditMarginMs: 10, dataCentre: 'dc',
};
const TARGET = 'm@v1';
const VM = 'vm';
const LIMITS = {teamInProgress: 100, teamWaiting: 500, classWaiting: 10_000};

const take = (world: AdmissionWorld, event: AdmissionEvent): AdmissionEffect[] => {
	const effects = mutateAdmission(world.state, SETTINGS, event, world.now);
	for (const effect of effects) {
		if (effect.kind === 'dispatch') {
			world.dispatched.push(effect.requestId);
		} else if (effect.kind === 'refuse') {
			world.refused.push(effect);
		}
	}

	return effects;
};

const arrive = (world: AdmissionWorld, team: string, weight: number, count: number): void => {
	for (let index = 0; index < count; index += 1) {
		world.nextId += 1;
		take(world, {
			kind: 'arrive',
			limits: LIMITS,
			request: {
				requestId: `${team}-${world.nextId}`,
				team,
				teamWeight: weight,
				className: 'c',
				classWeight: 1,
				target: TARGET,
				arrivedAt: world.now,
				deadlineAt: world.now + 100_000,
				isRepeatable: true,
			},
		});
	}
};

/** Serves the given number of requests one after another, each with one credit. */
const serve = (world: AdmissionWorld, count: number): void => {
	for (let index = 0; index < count; index += 1) {
		world.now += 10;
		const effects = take(world, {
			kind: 'credits', vm: VM, creditIds: [`c${world.now}`], validForMs: 5000,
		});
		for (const effect of effects) {
			if (effect.kind === 'dispatch') {
				take(world, {kind: 'finished', requestId: effect.requestId, attemptId: effect.attemptId});
			}
		}
	}
};

Given('an entry whose only upstream gives 1 credit at a time', function (this: AdmissionWorld) {
	this.state = newAdmissionState();
	this.now = 0;
	this.dispatched = [];
	this.refused = [];
	this.nextId = 0;
	take(this, {kind: 'endpoints', endpoints: new Map([[TARGET, [{vm: VM, dataCentre: 'dc'}]]])});
});

When('team {string} has {int} requests waiting and team {string} sends {int}', function (this: AdmissionWorld, flood: string, many: number, quiet: string, few: number) {
	arrive(this, flood, 1, many);
	arrive(this, quiet, 1, few);
	serve(this, 11);
});

When('teams {string} of weight {int} and {string} of weight {int} each have {int} requests waiting', function (
	this: AdmissionWorld,
	heavy: string,
	heavyWeight: number,
	light: string,
	lightWeight: number,
	count: number,
) {
	arrive(this, heavy, heavyWeight, count);
	arrive(this, light, lightWeight, count);
	serve(this, 20);
});

When('the upstream fails {int} repeatable requests in a row', function (this: AdmissionWorld, count: number) {
	arrive(this, 'team', 1, count);
	const endsAt = this.now + 2000;
	while (this.now < endsAt) {
		this.now += 10;
		const effects = take(this, {
			kind: 'credits', vm: VM, creditIds: [`c${this.now}`], validForMs: 100,
		});
		for (const effect of effects) {
			if (effect.kind === 'dispatch') {
				take(this, {
					kind: 'failed', requestId: effect.requestId, attemptId: effect.attemptId, code: 3003, outcome: 'unknown', jitter: 0.5,
				});
			}
		}
	}
});

Then('the {int} requests of team {string} are among the first {int} dispatched', function (this: AdmissionWorld, count: number, team: string, first: number) {
	assert.equal(this.dispatched.slice(0, first).filter(id => id.startsWith(team)).length, count);
});

Then('of the first {int} dispatched {int} are of team {string}, give or take {int}', function (this: AdmissionWorld, first: number, expected: number, team: string, slack: number) {
	const count = this.dispatched.slice(0, first).filter(id => id.startsWith(team)).length;
	assert.ok(Math.abs(count - expected) <= slack, `${count} of ${first}`);
});

Then('{int} of them were refused at once with code {int} and a Retry-After time', function (this: AdmissionWorld, count: number, code: number) {
	assert.equal(this.refused.length, count);
	assert.ok(this.refused.every(refusal => refusal.code === code && refusal.outcome === 'not_run' && refusal.retryAfterMs > 0));
});

Then('the upstream was tried at most {int} times in 2 seconds', function (this: AdmissionWorld, count: number) {
	assert.ok(this.dispatched.length <= count, `tried ${this.dispatched.length} times`);
});
