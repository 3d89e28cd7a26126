import assert from 'node:assert/strict';
import process from 'node:process';
import {Then, When} from '@cucumber/cucumber';
import {OUTCOME, RESULT_CODE} from '@valelead/common';
import {newRandom} from '../../../tests/support/new-random.js';
import {
	type AdmissionEvent, type AdmissionSettings, type AdmissionState, mutateAdmission, newAdmissionState,
} from '@valelead/admission';

type CountsWorld = {
	/** Descriptions of the histories whose counts were wrong. */
	faulty: string[];
	/** Requests of all histories that were dispatched, and those that were queued again. */
	dispatched: number;
	requeued: number;
};

type Attempt = {
	readonly requestId: string;
	readonly attemptId: string;
};

/** One history: the state, and what an entry knows beside it. */
type History = {
	readonly random: () => number;
	readonly state: AdmissionState;
	readonly settings: AdmissionSettings;
	/** Attempts of which no end was reported, cancelled ones included: an event of an attempt may come after its end was decided. */
	readonly attempts: Attempt[];
	readonly requestIds: string[];
	now: number;
	dispatched: number;
	requeued: number;
};

const SEED = Number(process.env.COUNTS_AT_REST_SEED ?? '1');

/** Histories in a run by hand; the number that the scenario names if absent. */
const HISTORIES = process.env.COUNTS_AT_REST_HISTORIES;

/** Distance between the seeds of two runs, more than a run has histories. */
const SEED_STEP = 100_000;

const VMS = ['a', 'b', 'c'];
const TARGETS = ['s', 't', 'u'];
const TEAMS = ['', 'x', 'y'];
const CLASSES = ['p', 'q'];
const CODES = [
	RESULT_CODE.UpstreamUnreachable,
	RESULT_CODE.UpstreamFailed,
	RESULT_CODE.UpstreamSilent,
	RESULT_CODE.UpstreamLeaving,
	RESULT_CODE.UpstreamRejected,
	RESULT_CODE.AttemptNotStarted,
	RESULT_CODE.AnswerCut,
];
const MAX_STEP_MS = 120;
const MAX_DEADLINE_MS = 2000;

/** Part of the events that come twice, or after the end of their attempt. */
const REPEATED_SHARE = 0.2;

const pick = <Value>({random}: History, values: readonly Value[]): Value => values[Math.floor(random() * values.length)];

const newEndpoints = (history: History): AdmissionEvent => ({
	kind: 'endpoints',
	endpoints: new Map(TARGETS.map(target => [
		target, VMS.filter(() => history.random() < 0.6).map(vm => ({vm, dataCentre: 'd', concurrencyLimit: 1 + Math.floor(history.random() * 3)})),
	])),
});

const newArrival = (history: History): AdmissionEvent => {
	const {random, now, requestIds} = history;
	const requestId = `r${requestIds.length}`;
	requestIds.push(requestId);
	const maxCount = random() < 0.2 ? 2 : 1000;
	return {
		kind: 'arrive',
		limits: {teamInProgress: maxCount, teamWaiting: maxCount, classWaiting: maxCount},
		request: {
			requestId,
			team: pick(history, TEAMS),
			teamWeight: 1,
			rank: Math.floor(random() * 3),
			className: pick(history, CLASSES),
			classWeight: 1,
			target: pick(history, TARGETS),
			arrivedAt: now,
			deadlineAt: now + (random() * MAX_DEADLINE_MS),
			dueAt: now + 300,
			leavesAt: now + (random() * MAX_DEADLINE_MS),
			isRepeatable: random() < 0.7,
			isResumable: random() < 0.5,
			maxRuns: 2,
			maxAttempts: 3,
			maxUpstreams: pick(history, [undefined, 1, 2]),
			retryBudget: 'b',
		},
	};
};

/** Takes an attempt that has not ended, and forgets it unless more events of it follow. */
const takeAttempt = (history: History, isLast: boolean): Attempt => {
	const {attempts, random} = history;
	const position = Math.floor(random() * attempts.length);
	const attempt = attempts[position] ?? {requestId: 'none', attemptId: 'none.1'};
	if (isLast && random() > REPEATED_SHARE) {
		attempts.splice(position, 1);
	}

	return attempt;
};

const newEvent = (history: History): AdmissionEvent => {
	const {random, requestIds, now} = history;
	const requestId = pick(history, requestIds.slice(-30)) ?? 'none';
	const factories: ReadonlyArray<() => AdmissionEvent> = [
		() => newArrival(history),
		() => newArrival(history),
		() => newArrival(history),
		() => ({kind: 'started', ...takeAttempt(history, false)}),
		() => ({kind: 'finished', ...takeAttempt(history, true)}),
		() => ({
			kind: 'failed', ...takeAttempt(history, true), code: pick(history, CODES), outcome: pick(history, [OUTCOME.NotRun, OUTCOME.Unknown]),
			jitter: random(), isLast: random() < 0.2, ...(random() < 0.3 && {target: pick(history, TARGETS)}),
		}),
		() => ({kind: 'abandon', requestId}),
		() => ({
			kind: 'giveUp', requestId, code: RESULT_CODE.WaitTooLong, retryAfterMs: 0,
		}),
		() => ({kind: 'tick'}),
		() => random() < 0.3 ? newEndpoints(history) : {kind: 'tick'},
		() => random() < 0.05 ? {kind: 'refuseAll', code: RESULT_CODE.Draining} : {kind: 'tick'},
		() => random() < 0.02 ? {kind: 'stop', endsAt: now + 1000} : {kind: 'tick'},
	];
	return pick(history, factories)();
};

/** Applies an event as an entry does: an attempt may fail in the turn in which it is started. */
const take = (history: History, event: AdmissionEvent): void => {
	for (const effect of mutateAdmission(history.state, history.settings, event, history.now)) {
		if (effect.kind !== 'dispatch') {
			continue;
		}

		const {requestId, attemptId} = effect;
		history.dispatched += 1;
		history.requeued += attemptId.endsWith('.1') ? 0 : 1;
		if (history.random() < 0.1) {
			take(history, {
				kind: 'failed', requestId, attemptId, code: RESULT_CODE.AttemptNotStarted, outcome: OUTCOME.NotRun, jitter: 0.5,
			});
		} else {
			history.attempts.push({requestId, attemptId});
		}
	}
};

const getCounts = ({requests, teams, lanes, classWaiting, queues}: AdmissionState): Readonly<Record<string, number>> => {
	const records = [...requests.values()];
	const waiting = records.filter(({state}) => state === 'waiting');
	const sent = records.filter(({state}) => state !== 'waiting');
	return {
		...Object.fromEntries([...teams].map(([team, usage]) => [`waiting of team ${team}`, usage.waiting - waiting.filter(({request}) => request.team === team).length])),
		...Object.fromEntries([...teams].map(([team, usage]) => [`sent of team ${team}`, usage.inProgress - sent.filter(({request}) => request.team === team).length])),
		...Object.fromEntries([...lanes].map(([vm, lane]) => [`places at ${vm}`, lane.inProgress - sent.filter(record => record.vm === vm).length])),
		...Object.fromEntries([...lanes].map(([vm, lane]) => [`silence of the idle ${vm}`, lane.inProgress === 0 && lane.unansweredSince !== undefined ? 1 : 0])),
		...Object.fromEntries([...classWaiting].map(([name, count]) => [`waiting of class ${name}`, count - waiting.filter(({request}) => request.className === name).length])),
		queued: [...queues.values()].flat().length - waiting.length,
		'empty queues': [...queues.values()].filter(queue => queue.length === 0).length,
	};
};

/** Returns the counts that do not agree with the requests. */
const getWrong = (state: AdmissionState): string[] => Object.entries(getCounts(state)).filter(([, count]) => count !== 0).map(([name, count]) => `${name}: ${count} too many`);

/** Plays one random history, and returns what is wrong in it. */
const playHistory = (world: CountsWorld, seed: number, events: number): string[] => {
	const random = newRandom(seed);
	const history: History = {
		random,
		state: newAdmissionState(),
		settings: {
			maxAttempts: 3,
			retryTokensPerRequest: 0.5,
			maxRetryTokens: 10,
			initialRetryTokens: 10,
			isRefusalCharged: random() < 0.5,
			failuresBeforeEjection: 3,
			baseEjectionMs: 100,
			maxEjectionMs: 400,
			refusedTargetAvoidMs: 50,
			creditMarginMs: 0,
			deprioritiseAfterMs: 200,
			ejectUnresponsiveAfterMs: 500,
			isOrderedByLatestStart: random() < 0.5,
			areClassesBalanced: random() < 0.5,
			dataCentre: 'd',
		},
		attempts: [],
		requestIds: [],
		now: 0,
		dispatched: 0,
		requeued: 0,
	};
	take(history, newEndpoints(history));
	for (let index = 0; index < events; index += 1) {
		history.now += random() < 0.5 ? 0 : random() * MAX_STEP_MS;
		take(history, newEvent(history));
		const wrong = getWrong(history.state);
		if (wrong.length > 0) {
			return wrong;
		}
	}

	history.now += MAX_DEADLINE_MS;
	take(history, {kind: 'tick'});
	// Only requests whose responses have begun outlast their deadlines here; the entry ends them.
	for (const requestId of history.state.requests.keys()) {
		take(history, {kind: 'abandon', requestId});
	}

	world.dispatched += history.dispatched;
	world.requeued += history.requeued;
	return [...getWrong(history.state), ...(history.state.requests.size === 0 ? [] : [`${history.state.requests.size} requests are left`])];
};

When('{int} random histories of {int} events are played', {timeout: 600_000}, function (this: CountsWorld, histories: number, events: number) {
	this.faulty = [];
	this.dispatched = 0;
	this.requeued = 0;
	for (let index = 0; index < Number(HISTORIES ?? histories); index += 1) {
		const seed = (SEED * SEED_STEP) + index;
		const wrong = playHistory(this, seed, events);
		if (wrong.length > 0) {
			this.faulty.push(`seed ${seed}: ${wrong.join(', ')}`);
		}
	}
});

Then('after each event the counts agree with the requests, and after each history all are zero', function (this: CountsWorld) {
	assert.deepEqual(this.faulty, []);
	assert.ok(this.dispatched > 0 && this.requeued > 0, `${this.dispatched} dispatched, ${this.requeued} of them again`);
});
