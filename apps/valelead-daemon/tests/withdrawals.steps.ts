import assert from 'node:assert/strict';
import process from 'node:process';
import {Then, When} from '@cucumber/cucumber';
import {pino} from 'pino';
import {
	type DirectoryCopy, type Upstream, UPSTREAM_STATE, getChangesSince, mutateDirectoryCopy, mutateUnconfirmedUpstreams, newDirectoryCopy,
} from '@valelead/discovery';
import {newRandom} from '../../../tests/support/new-random.js';
import {newUpstream} from '../../../tests/support/new-upstream.js';
import {newVirtualTimers} from '../../../tests/support/new-virtual-timers.js';
import {VirtualTime} from '../../../tests/support/virtual-time.js';
import {SimulatedVersionLog} from './simulated-version-log.js';
import {UpstreamRegistry, WithdrawalRecorder} from 'valelead-daemon';

type Totals = {
	acknowledged: number;
	reused: number;
	readonly faults: string[];
};

type WithdrawalsWorld = {
	totals: Totals;
};

/** An upstream as it sees itself, with its heartbeats that are delayed. */
type Sender = {
	upstream: Upstream;
	readonly delayed: Upstream[];
};

const SEED = Number(process.env.WITHDRAWALS_SEED ?? '1');
const SEED_STEP = 100_000;
const ANNOUNCE_MS = 1200;
const MAX_ADVANCE_MS = 3000;

/** Heartbeats arrive at most this late, in milliseconds. */
const MAX_DELAY_MS = 20_000;

/** Followers drop upstreams that a new leader has not confirmed within this time, in milliseconds. */
const CONFIRM_MS = 8000;

const isOffered = ({state}: Upstream): boolean => state === UPSTREAM_STATE.Ready || state === UPSTREAM_STATE.Silent;

/** Two controllers that take turns as the leader, their followers, and upstreams that come and go. */
class WithdrawalHistory {
	readonly #random: () => number;
	readonly #name: string;
	readonly #totals: Totals;
	readonly #time = new VirtualTime();
	readonly #log = new SimulatedVersionLog();
	readonly #registries: readonly UpstreamRegistry[];
	readonly #recorder: WithdrawalRecorder;
	readonly #copies: readonly DirectoryCopy[];
	readonly #senders: Sender[];
	/** When the withdrawals were acknowledged, by id of the run. */
	readonly #acknowledgedAt = new Map<string, number>();
	#leader = 0;
	#runs = 0;
	#canRead = true;

	constructor(seed: number, counts: {readonly upstreams: number; readonly controllers: number; readonly followers: number}, totals: Totals) {
		this.#random = newRandom(seed);
		this.#name = `seed ${seed}`;
		this.#totals = totals;
		const getNow = (): number => this.#time.now;
		const clock = {now: getNow, wallNow: getNow};
		const logger = pino({level: 'silent'});
		this.#log.getWallNow = getNow;
		this.#log.isFast = false;
		this.#registries = Array.from({length: counts.controllers}, (_, index) => this.#newRegistry(index, clock));
		this.#recorder = new WithdrawalRecorder({voter: this.#log, clock, logger});
		this.#copies = Array.from({length: counts.followers}, () => newDirectoryCopy());
		this.#senders = Array.from({length: counts.upstreams}, (_, index) => this.#newSender(`10.0.0.${index}:80`));
	}

	async play(steps: number): Promise<void> {
		for (let step = 0; step < steps; step += 1) {
			this.#step();
			await Promise.resolve();
			this.#check(step);
		}
	}

	#newRegistry(index: number, clock: {readonly now: () => number; readonly wallNow: () => number}): UpstreamRegistry {
		const getNode = (): {term: number; canRead: boolean} => ({term: this.#log.node.term, canRead: index === this.#leader && this.#canRead});
		const registry = new UpstreamRegistry({
			voter: {
				record: {
					id: `v${index}`, vm: '', address: '', isLearner: false,
				},
				machine: this.#log.machine,
				get node() {
					return getNode();
				},
			},
			getServices: () => undefined,
			clock,
			timers: newVirtualTimers(this.#time),
			logger: pino({level: 'silent'}),
			announceMs: ANNOUNCE_MS,
			onChange: () => undefined,
			onEngineModels: () => undefined,
		});
		registry.start();
		return registry;
	}

	#newSender(address: string): Sender {
		this.#runs += 1;
		return {upstream: newUpstream(`i-${this.#runs}`, {address, sequence: 0}), delayed: []};
	}

	#pick<Item>(items: readonly Item[]): Item {
		return items[Math.floor(this.#random() * items.length)];
	}

	#step(): void {
		const sender = this.#pick(this.#senders);
		const steps: ReadonlyArray<() => void> = [
			() => {
				this.#beat(sender);
			},
			() => {
				this.#beat(sender);
			},
			() => {
				this.#delay(sender);
			},
			() => {
				this.#deliver(sender);
			},
			() => {
				this.#drain(sender);
			},
			() => {
				this.#depart(sender);
			},
			() => {
				this.#replace(sender);
			},
			() => {
				this.#log.commit();
			},
			() => {
				this.#log.commit();
			},
			() => {
				this.#lead();
			},
			() => {
				this.#canRead = true;
			},
			() => {
				this.#follow(this.#pick(this.#copies));
			},
			() => {
				this.#time.advance(Math.floor(this.#random() * MAX_ADVANCE_MS));
			},
		];
		this.#pick(steps)();
	}

	#newBeat(sender: Sender): Upstream {
		sender.upstream = {...sender.upstream, sequence: sender.upstream.sequence + 1};
		return sender.upstream;
	}

	#beat(sender: Sender): void {
		if (sender.upstream.state !== UPSTREAM_STATE.Gone) {
			void this.#announce(this.#newBeat(sender));
		}
	}

	#delay(sender: Sender): void {
		if (sender.upstream.state !== UPSTREAM_STATE.Gone) {
			const beat = this.#newBeat(sender);
			sender.delayed.push(beat);
			this.#time.after(MAX_DELAY_MS, () => {
				sender.delayed.splice(sender.delayed.indexOf(beat), 1);
			});
		}
	}

	#deliver({delayed}: Sender): void {
		if (delayed.length > 0) {
			void this.#announce(this.#pick(delayed));
		}
	}

	#drain(sender: Sender): void {
		if (sender.upstream.state === UPSTREAM_STATE.Ready) {
			sender.upstream = {...sender.upstream, state: UPSTREAM_STATE.Draining};
			this.#beat(sender);
		}
	}

	#depart(sender: Sender): void {
		sender.upstream = {...sender.upstream, state: UPSTREAM_STATE.Gone};
		try {
			const departed = this.#registry.depart({instanceId: sender.upstream.instanceId, bornAt: 0});
			void this.#acknowledge(departed);
		} catch {
			// The upstream would call another controller.
		}
	}

	/** Another upstream gets the address of one that has departed; delayed heartbeats of the earlier one still arrive. */
	#replace(sender: Sender): void {
		if (sender.upstream.state === UPSTREAM_STATE.Gone) {
			const next = this.#newSender(sender.upstream.address);
			this.#senders[this.#senders.indexOf(sender)] = {...next, delayed: sender.delayed};
			this.#totals.reused += 1;
		}
	}

	/** Another controller, or the same one again, leads. What is not committed is lost or left to the next leader. */
	#lead(): void {
		if (this.#random() < 0.5) {
			this.#log.drop();
		}

		this.#log.lead();
		this.#leader = Math.floor(this.#random() * this.#registries.length);
		this.#canRead = this.#random() < 0.5;
	}

	get #registry(): UpstreamRegistry {
		return this.#registries[this.#leader];
	}

	async #announce(upstream: Upstream): Promise<void> {
		try {
			this.#registry.announce(upstream);
		} catch {
			// The upstream would call another controller.
			return;
		}

		if (upstream.state === UPSTREAM_STATE.Draining) {
			await this.#acknowledge(upstream);
		}
	}

	async #acknowledge(upstream: Upstream): Promise<void> {
		await this.#recorder.record(upstream);
		if (!this.#acknowledgedAt.has(upstream.id)) {
			this.#acknowledgedAt.set(upstream.id, this.#time.now);
			this.#totals.acknowledged += 1;
		}
	}

	#follow(copy: DirectoryCopy): void {
		const {epoch, directory} = this.#registry;
		const isWhole = copy.epoch !== epoch;
		mutateDirectoryCopy(copy, {
			epoch, version: directory.version, isWhole, upstreams: getChangesSince(directory, isWhole ? 0 : copy.version),
		}, this.#time.now);
		mutateUnconfirmedUpstreams(copy, CONFIRM_MS, this.#time.now);
	}

	#check(step: number): void {
		const {epoch, directory} = this.#registry;
		// A leader that has not applied the log of its predecessors yet tells followers nothing of runs that it has not heard.
		const upToDate = this.#copies.filter(copy => this.#canRead && copy.epoch === epoch && copy.version === directory.version);
		const listed = [
			...[...directory.entries.values()].map(entry => ({place: 'leader', upstream: entry.upstream})),
			...upToDate.flatMap(copy => [...copy.upstreams.values()].map(({upstream}) => ({place: 'follower', upstream}))),
		];
		for (const {place, upstream} of listed) {
			if (isOffered(upstream) && this.#acknowledgedAt.has(upstream.id)) {
				this.#totals.faults.push(`${this.#name}, step ${step}: ${place} offers ${upstream.id}`);
			}
		}
	}
}

When('{int} random histories of {int} steps with {int} upstreams, {int} controllers and {int} followers are played', {timeout: 60_000}, async function (
	this: WithdrawalsWorld,
	count: number,
	steps: number,
	upstreams: number,
	controllers: number,
	followers: number,
) {
	this.totals = {acknowledged: 0, reused: 0, faults: []};
	for (let history = 0; history < count; history += 1) {
		await new WithdrawalHistory((SEED * SEED_STEP) + history, {upstreams, controllers, followers}, this.totals).play(steps);
	}
});

Then('no upstream was offered after its withdrawal had been acknowledged', function (this: WithdrawalsWorld) {
	assert.deepEqual(this.totals.faults.slice(0, 10), []);
});

Then('at least {int} withdrawals were acknowledged, and {int} upstreams took the address of another one', function (this: WithdrawalsWorld, acknowledged: number, reused: number) {
	assert.ok(this.totals.acknowledged >= acknowledged, `${this.totals.acknowledged} were acknowledged`);
	assert.ok(this.totals.reused >= reused, `${this.totals.reused} took an address`);
});
