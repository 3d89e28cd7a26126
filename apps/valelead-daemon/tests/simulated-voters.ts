import {RESULT_CODE} from '@valelead/common';
import {mutateIntent, newIntent} from '@valelead/intent';
import {VirtualProcess} from '../../../tests/support/virtual-process.js';
import type {VirtualTime} from '../../../tests/support/virtual-time.js';
import type {QuarantineLog} from 'valelead-daemon';

const VOTERS = 3;
const MAJORITY = 2;
const TICK_MS = 20;
const COMMIT_MS = 20;

/** Length of a leader's lease, in milliseconds. A leader without a majority stops leading by its own clock after this time. */
const LEASE_MS = 630;

/** Time from the end of a leader's lease until the next leader is elected, in milliseconds. */
const ELECTION_MS = 400;

type SimulatedVoter = {
	readonly process: VirtualProcess;
	readonly listeners: Array<() => void>;
};

/** Simulates the part of three voters that the quarantine registry depends on: leader election and a shared log. */
export class SimulatedVoters {
	readonly voters: readonly SimulatedVoter[];
	readonly #time: VirtualTime;
	readonly #intent = newIntent();
	#term = 1;
	#leader = 0;
	#leaseUntil = 0;

	constructor(time: VirtualTime) {
		this.#time = time;
		this.voters = Array.from({length: VOTERS}, () => ({process: new VirtualProcess(time), listeners: []}));
		this.#tick();
	}

	get leader(): number {
		return this.#leader;
	}

	isLeading(index: number): boolean {
		return index === this.#leader && this.#time.now < this.#leaseUntil;
	}

	/** Returns the replicated log from the view of one voter. */
	getLog(index: number): QuarantineLog {
		const isLeading = (): boolean => this.isLeading(index);
		const getTerm = (): number => this.#term;
		return {
			node: {
				get term() {
					return getTerm();
				},
				get isCurrentLeader() {
					return isLeading();
				},
			},
			machine: {
				intent: this.#intent,
				subscribe: listener => {
					this.voters[index].listeners.push(listener);
				},
			},
			propose: async proposal => new Promise((resolve, reject) => {
				this.#time.after(COMMIT_MS, () => {
					if (!isLeading()) {
						reject(new Error('not the leader any more'));
						return;
					}

					const {revision} = mutateIntent(this.#intent, proposal);
					for (const {process, listeners} of this.voters) {
						process.take(() => {
							for (const listener of listeners) {
								listener();
							}
						});
					}

					resolve({code: RESULT_CODE.Ok, message: '', revision});
				});
			}),
		};
	}

	#tick(): void {
		const running = [...this.voters.keys()].filter(index => !this.voters[index].process.isFrozen);
		const {now} = this.#time;
		if (running.length >= MAJORITY && running.includes(this.#leader) && now <= this.#leaseUntil) {
			this.#leaseUntil = now + LEASE_MS;
		} else if (running.length >= MAJORITY && now > this.#leaseUntil + ELECTION_MS) {
			this.#leader = running.find(index => index !== this.#leader)!;
			this.#term += 1;
			this.#leaseUntil = now + LEASE_MS;
		}

		this.#time.after(TICK_MS, () => {
			this.#tick();
		});
	}
}
