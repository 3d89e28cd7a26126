import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {OUTCOME} from '@valelead/common';
import type {VirtualClock} from '@valelead/emulator';
import type {Route} from '@valelead/routing';
import {
	type ResponseWriter, type GatewayRequest, type Refusal, getTarget, newGatewayRequest,
} from 'valelead-daemon';
import {CALL_OUTCOME} from './call-outcome.js';
import type {CallResult} from './call-result.js';
import type {CallerGroup} from './caller-group.js';
import type {LabCall} from './lab-call.js';
import type {LabGateway} from './lab-gateway.js';

type LabCallerParts = {
	readonly call: LabCall;
	readonly route: Route;
	readonly clock: VirtualClock;
	readonly linkMs: number;
	/** Draws the gateway of the next try. */
	readonly getGateway: () => LabGateway;
	readonly onEnd: (result: CallResult) => void;
};

/** A refused caller comes back this often at most. */
const MAX_RETRIES = 1;

/** It heeds the time that it is told to wait up to this part of the time it has left. */
const HEEDED_SHARE = 1 / 3;

/** A try that is held and then not served costs from this part of its objective to this part of its time. */
const FREE_OBJECTIVE_SHARE = 1 / 8;
const WHOLE_TIME_SHARE = 3 / 4;

/** What a second refusal costs of a request's worth. */
const SECOND_REFUSAL_SHARE = 0.3;

const getHeldShare = (heldMs: number, {objectiveMs, deadlineMs}: CallerGroup): number => {
	const freeMs = objectiveMs * FREE_OBJECTIVE_SHARE;
	return Math.min(1, Math.max(0, heldMs - freeMs) / ((deadlineMs * WHOLE_TIME_SHARE) - freeMs));
};

/** One caller: sends its request, waits as long as it is patient, and comes back once after a refusal. */
export class LabCaller {
	readonly #parts: LabCallerParts;
	#abandon: (() => void) | undefined;
	#firstEventAt: number | undefined;
	#lastEventAt = 0;
	#longestPauseMs = 0;
	/** Changes with every try, so that the watch over an earlier one ends. */
	#watchId = 0;
	#triedAt = 0;
	#pricedShare = 0;
	#isOver = false;

	constructor(parts: LabCallerParts) {
		this.#parts = parts;
	}

	get #endsAt(): number {
		const {call} = this.#parts;
		return call.firstAt + call.callerGroup.deadlineMs;
	}

	start(): void {
		this.#try();
	}

	#try(): void {
		const {clock, linkMs, call, getGateway} = this.#parts;
		call.tries += 1;
		this.#triedAt = clock.now();
		clock.schedule(linkMs, () => {
			if (!this.#isOver) {
				this.#abandon = getGateway().arrive(call, this.#newRequest());
			}
		});
		this.#watchId += 1;
		this.#watch(this.#triedAt, this.#watchId);
	}

	/** Leaves where nothing comes within the caller's patience, or when its time is over. */
	#watch(heardAt: number, watchId: number): void {
		const {clock, call} = this.#parts;
		const patienceEndsAt = heardAt + call.callerGroup.patienceMs;
		clock.schedule(Math.min(patienceEndsAt, this.#endsAt) - clock.now(), () => {
			if (this.#isOver || watchId !== this.#watchId) {
				return;
			}

			const lastAt = Math.max(heardAt, this.#lastEventAt);
			if (lastAt > heardAt && clock.now() < this.#endsAt) {
				this.#watch(lastAt, watchId);
				return;
			}

			this.#abandon?.();
			this.#pricedShare += this.#firstEventAt === undefined ? 1 : 0;
			this.#finish(CALL_OUTCOME.InVain);
		});
	}

	#newRequest(): GatewayRequest {
		const {call: {run, url}, route, clock} = this.#parts;
		const [service] = route.shares;
		const now = clock.now();
		const id = randomUUID();
		return newGatewayRequest({
			id,
			head: {
				id,
				deadlineMs: this.#endsAt - now,
				model: run.model,
				adapter: run.adapter,
				promptTokens: run.ownTokens + run.sharedTokens,
				maxNewTokens: run.newTokens,
				sharedSegments: [],
				hasTokenCount: true,
				isTokenCountValid: true,
				lastEventId: '',
				resumedRequestId: '',
				key: undefined,
			},
			caller: {team: undefined, rank: route.priority, cost: 0},
			host: '',
			route,
			service: service.service,
			target: getTarget(service.service, run.model, run.adapter),
			method: 'POST',
			url: url ?? `/${id}`,
			rawHeaders: [],
			body: Buffer.alloc(0),
			answer: this.#newAnswer(),
			arrivedAt: now,
			deadlineAt: Math.min(this.#endsAt, now + route.timeoutMs),
			routingVersion: 1,
		});
	}

	#newAnswer(): ResponseWriter {
		let isStarted = false;
		let isEnded = false;
		return {
			isCallerDisconnected: false,
			get isStarted() {
				return isStarted;
			},
			get isEnded() {
				return isEnded;
			},
			start() {
				isStarted = true;
			},
			data: () => {
				this.#later(() => {
					this.#takeEvent();
				});
			},
			end: () => {
				isEnded = true;
				this.#later(() => {
					this.#finish(this.#getServedOutcome());
				});
			},
			refuse: refusal => {
				isEnded = true;
				this.#later(() => {
					this.#takeRefusal(refusal, isStarted);
				});
			},
		};
	}

	#later(action: () => void): void {
		this.#parts.clock.schedule(this.#parts.linkMs, () => {
			if (!this.#isOver) {
				action();
			}
		});
	}

	#takeEvent(): void {
		const now = this.#parts.clock.now();
		if (this.#firstEventAt === undefined) {
			this.#firstEventAt = now;
		} else {
			this.#longestPauseMs = Math.max(this.#longestPauseMs, now - this.#lastEventAt);
		}

		this.#lastEventAt = now;
	}

	#takeRefusal({outcome, retryAfterMs}: Refusal, isStarted: boolean): void {
		const {clock, call} = this.#parts;
		const leftMs = this.#endsAt - clock.now();
		this.#pricedShare += getHeldShare(clock.now() - this.#triedAt, call.callerGroup) + (call.tries > MAX_RETRIES ? SECOND_REFUSAL_SHARE : 0);
		if (isStarted || outcome !== OUTCOME.NotRun || call.tries > MAX_RETRIES || leftMs <= 0) {
			this.#finish(outcome === OUTCOME.NotRun ? CALL_OUTCOME.Refused : CALL_OUTCOME.InVain);
			return;
		}

		this.#watchId += 1;
		clock.schedule(Math.min(retryAfterMs, leftMs * HEEDED_SHARE), () => {
			this.#try();
		});
	}

	#getServedOutcome(): CallResult['outcome'] {
		const {firstAt, callerGroup} = this.#parts.call;
		const isInTime = this.#firstEventAt !== undefined && this.#firstEventAt - firstAt <= callerGroup.objectiveMs && this.#longestPauseMs <= callerGroup.pauseObjectiveMs;
		return isInTime ? CALL_OUTCOME.InTime : CALL_OUTCOME.Late;
	}

	#finish(outcome: CallResult['outcome']): void {
		const {call, clock, onEnd} = this.#parts;
		this.#isOver = true;
		onEnd({
			className: call.callerGroup.name,
			model: call.run.model,
			adapter: call.run.adapter,
			outcome,
			waitedMs: (this.#firstEventAt ?? clock.now()) - call.firstAt,
			at: call.firstAt,
			pricedShare: this.#pricedShare,
		});
	}
}
