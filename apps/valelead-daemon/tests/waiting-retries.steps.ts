import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {OUTCOME, RESULT_CODE} from '@valelead/common';
import {
	type AdmissionEndpoint, type AdmissionEvent, mutateAdmission, newAdmissionState,
} from '@valelead/admission';
import {newPlainArrival} from '../../../tests/support/new-plain-arrival.js';
import {newGatewayAdmission} from 'valelead-daemon';

type AttemptEnd = {
	readonly at: number;
	readonly event: AdmissionEvent & {readonly requestId: string; readonly attemptId: string};
};

const RATIO = 0.2;
const RESERVE = 64;
const WINDOW_MS = 10_000;
const STEP_MS = 5;
const WINDOW_STEP_MS = 50;
const LOST_AT_MS = 20_000;
const FAILING_MS = 20_000;
const TIMEOUT_MS = 5000;

/** The service time after the outage, in milliseconds. */
const QUICK_MS = 20;

const TARGET = 'service/s';
const UPSTREAMS: ReadonlyMap<string, readonly AdmissionEndpoint[]> = new Map([[TARGET, Array.from({length: 24}, (_, index) => ({vm: `u${index}`, dataCentre: 'd', concurrencyLimit: 64}))]]);

const SETTINGS = newGatewayAdmission({
	dataCentre: 'd', ratio: RATIO, reserve: RESERVE, windowMs: WINDOW_MS, gatewayCount: 1, countedSince: -2 * WINDOW_MS,
});

/** The admission of one gateway that sends requests to one service, and the times of its requests and repeats. */
class OutageModel {
	readonly requests: number[] = [];
	readonly repeats: number[] = [];
	readonly #state = newAdmissionState();
	readonly #perSecond: number;
	readonly #serviceMs: number;
	#now = 0;
	#ends: AttemptEnd[] = [];
	#isFailing = false;

	constructor(perSecond: number, serviceMs: number) {
		this.#perSecond = perSecond;
		this.#serviceMs = serviceMs;
		this.#take({kind: 'endpoints', endpoints: UPSTREAMS});
	}

	pass(ms: number): void {
		for (const endsAt = this.#now + ms; this.#now < endsAt; this.#now += STEP_MS) {
			const due = this.#ends.filter(({at}) => at <= this.#now);
			this.#ends = this.#ends.filter(({at}) => at > this.#now);
			for (const {event} of due) {
				this.#take(event);
			}

			this.#take({kind: 'tick'});
			while (this.requests.length < this.#now * this.#perSecond / 1000) {
				this.requests.push(this.#now);
				this.#take(newPlainArrival({
					requestId: `r${this.requests.length}`, target: TARGET, arrivedAt: this.#now, deadlineAt: this.#now + TIMEOUT_MS, maxRuns: 2, retryBudget: 's',
				}));
			}
		}
	}

	/** Breaks all requests in progress, and leaves the service without upstreams for a time. */
	lose(outageMs: number): void {
		const broken = this.#ends;
		this.#ends = [];
		this.#take({kind: 'endpoints', endpoints: new Map()});
		for (const {event} of broken) {
			this.#take(this.#newFailure(event));
		}

		this.pass(outageMs);
		this.#isFailing = true;
		this.#take({kind: 'endpoints', endpoints: UPSTREAMS});
	}

	/** Returns the repeats of each window, and how many its budget allows. */
	getWindows(): Array<{readonly repeats: number; readonly allowed: number}> {
		const windows = [];
		for (let from = 0; from < this.#now - WINDOW_MS; from += WINDOW_STEP_MS) {
			const requests = [from, from - (WINDOW_MS / 2), from - WINDOW_MS].map(at => this.#count(this.requests, at));
			windows.push({repeats: this.#count(this.repeats, from), allowed: (RATIO * Math.max(...requests)) + RESERVE});
		}

		return windows;
	}

	#count(times: readonly number[], from: number): number {
		return times.filter(at => at > from && at <= from + WINDOW_MS).length;
	}

	#newFailure({requestId, attemptId}: {readonly requestId: string; readonly attemptId: string}): AttemptEnd['event'] {
		return {
			kind: 'failed', requestId, attemptId, code: RESULT_CODE.UpstreamFailed, outcome: OUTCOME.Unknown, jitter: 0.5,
		};
	}

	#take(event: AdmissionEvent): void {
		for (const effect of mutateAdmission(this.#state, SETTINGS, event, this.#now)) {
			if (effect.kind !== 'dispatch') {
				continue;
			}

			const {requestId, attemptId} = effect;
			const isFirst = attemptId.endsWith('.1');
			if (!isFirst) {
				this.repeats.push(this.#now);
			}

			const isFailed = this.#isFailing && isFirst && Number(requestId.slice(1)) % 2 === 0;
			this.#ends.push({
				at: this.#now + (this.#isFailing ? QUICK_MS : this.#serviceMs),
				event: isFailed ? this.#newFailure(effect) : {kind: 'finished', requestId, attemptId},
			});
		}
	}
}

type OutageWorld = {
	outage: OutageModel;
};

Given('a gateway that sends {int} requests a second, each of which takes {int} ms, to a service for 20 s', function (this: OutageWorld, perSecond: number, serviceMs: number) {
	this.outage = new OutageModel(perSecond, serviceMs);
	this.outage.pass(LOST_AT_MS);
});

When('the upstreams of the service are lost for {int} ms, and then fail every second request once for 20 s', {timeout: 60_000}, function (this: OutageWorld, outageMs: number) {
	this.outage.lose(outageMs);
	this.outage.pass(FAILING_MS);
});

Then('the service gets no more repeats than its budget allows in any window', function (this: OutageWorld) {
	assert.deepEqual(this.outage.getWindows().filter(({repeats, allowed}) => repeats > allowed), []);
});

Then('it gets at least {float} of them in one', function (this: OutageWorld, share: number) {
	const most = Math.max(...this.outage.getWindows().map(({repeats, allowed}) => repeats / allowed));
	assert.ok(most >= share, String(most));
});
