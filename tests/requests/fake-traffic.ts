import assert from 'node:assert/strict';
import {OUTCOME, type OutcomeValue, type ResultCodeValue} from '@valelead/common';
import {type Claims, mutateClaims} from '@valelead/intent';
import {newRandom} from '../support/new-random.js';
import {VirtualNetwork} from '../support/virtual-network.js';
import {VirtualTime} from '../support/virtual-time.js';
import {FakeDispatchAgent} from './fake-dispatch-agent.js';
import {FakeEntry} from './fake-entry.js';
import type {FakeRequest} from './fake-request.js';
import type {GivenAnswer} from './given-answer.js';
import type {RequestMutation} from './request-mutation.js';

/** Longest time from a drain that the log accepted to the last new work: the age of a configuration and one message. */
const DRAIN_LIMIT_MS = 3300;

/** Slack between a deadline and its refusal: one tick of the entry. */
const DEADLINE_SLACK_MS = 25;

type Placed = {
	readonly request: FakeRequest;
	readonly entry: FakeEntry;
	readonly arrivedAt: number;
	/** The entry froze or crashed while it held the request, so that its caller saw the connection break. */
	isBroken: boolean;
};

/**
 * Two entries before two engines and a service. The oracle: one answer for each request, in time, with its own
 * content; "not run" means that the upstream's books never show it; a key runs once; drained agents end up idle.
 */
export class FakeTraffic {
	readonly time = new VirtualTime();
	readonly network: VirtualNetwork;
	readonly entries: FakeEntry[];
	readonly agents: FakeDispatchAgent[];
	readonly #placed = new Map<string, Placed>();
	readonly #answers = new Map<string, GivenAnswer>();
	/** Attempts that upstreams ran. */
	readonly #ran: string[] = [];
	readonly #claims: Claims = new Map();
	#nextRequest = 1;

	constructor(seed: number, mutation: RequestMutation) {
		const random = newRandom(seed);
		this.network = new VirtualNetwork(this.time, random);
		const newAgent = (vm: string, isService: boolean): FakeDispatchAgent => new FakeDispatchAgent(vm, isService, this.time, this.network, mutation, {
			onRun: (attemptId: string) => {
				this.#ran.push(attemptId);
			},
			onAccept: name => {
				this.#checkDrain(name);
			},
			onCredits: (entry, creditIds) => {
				this.network.send(vm, entry, () => {
					this.entries.find(candidate => candidate.name === entry)?.takeCredits(vm, creditIds);
				});
			},
		});
		this.agents = [newAgent('engine-1', false), newAgent('engine-2', false), newAgent('service-1', true)];
		this.entries = ['entry-1', 'entry-2'].map(name => new FakeEntry({
			name,
			time: this.time,
			network: this.network,
			agents: this.agents,
			mutation,
			random,
			log: command => mutateClaims(this.#claims, this.time.now, command),
			onAnswer: (requestId, code, outcome, content) => {
				this.#takeAnswer(requestId, code, outcome, content);
			},
		}));
	}

	/** A request arrives; with a key it is a call that must not run twice. */
	arrive(entryIndex: number, key: string, deadlineMs: number): void {
		const requestId = `r${this.#nextRequest}`;
		this.#nextRequest += 1;
		const entry = this.entries[entryIndex];
		if (!entry.process.isUp || entry.process.isFrozen) {
			return;
		}

		const target = key === '' ? 'model@v1' : 'service/holds';
		const request = {
			requestId, team: 'team', key, target, deadlineMs,
		};
		this.#placed.set(requestId, {
			request, entry, arrivedAt: this.time.now, isBroken: false,
		});
		entry.arrive(request);
	}

	/** The callers of an entry that froze or crashed see their connections break. */
	breakCallers(entryIndex: number): void {
		for (const placed of this.#placed.values()) {
			if (placed.entry === this.entries[entryIndex] && !this.#answers.has(placed.request.requestId)) {
				placed.isBroken = true;
			}
		}
	}

	advance(ms: number): void {
		this.time.advance(ms);
		this.#checkDeadlines();
	}

	heal(): void {
		this.network.heal();
		for (const part of [...this.entries, ...this.agents]) {
			part.process.thaw();
		}
	}

	settle(): void {
		this.heal();
		this.advance(15_000);
		const ran = new Map<string, number>();
		for (const attemptId of this.#ran) {
			const requestId = attemptId.split('.')[0];
			ran.set(requestId, (ran.get(requestId) ?? 0) + 1);
		}

		for (const [requestId, {request, isBroken}] of this.#placed) {
			const answer = this.#answers.get(requestId);
			assert.ok(answer ?? isBroken, `${requestId} was dropped`);
			if (answer?.outcome === OUTCOME.NotRun) {
				assert.ok(!ran.has(requestId), `${requestId} was told "not run" and ran`);
			}

			if (answer && answer.content !== '' && request.key === '') {
				assert.equal(answer.content, requestId, 'an answer belongs to its request');
			}
		}

		this.#checkKeys(ran);
	}

	#checkKeys(ran: ReadonlyMap<string, number>): void {
		const runsByKey = new Map<string, number>();
		for (const {request} of this.#placed.values()) {
			if (request.key !== '') {
				runsByKey.set(request.key, (runsByKey.get(request.key) ?? 0) + (ran.get(request.requestId) ?? 0));
			}
		}

		for (const [key, runs] of runsByKey) {
			assert.ok(runs <= 1, `key ${key} ran ${runs} times`);
		}
	}

	#checkDeadlines(): void {
		for (const [requestId, {request, arrivedAt, isBroken}] of this.#placed) {
			const isLate = this.time.now > arrivedAt + request.deadlineMs + DEADLINE_SLACK_MS;
			assert.ok(!isLate || isBroken || this.#answers.has(requestId), `${requestId} has no answer in its time`);
		}
	}

	#checkDrain(vm: string): void {
		const {drainedAt} = this.agents.find(agent => agent.vm === vm)!;
		assert.ok(this.time.now <= drainedAt + DRAIN_LIMIT_MS, `${vm} took work ${this.time.now - drainedAt} ms after its drain`);
	}

	#takeAnswer(requestId: string, code: ResultCodeValue, outcome: OutcomeValue, content: string): void {
		assert.ok(!this.#answers.has(requestId), `${requestId} got two answers`);
		this.#answers.set(requestId, {
			requestId, at: this.time.now, code, outcome, content,
		});
	}
}
