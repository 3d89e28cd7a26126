import assert from 'node:assert/strict';
import {TimerService} from '@valelead/common';
import {VirtualClock} from '@valelead/emulator';
import type {DiskMutation} from './disk-mutation.js';
import {FakeFileSystem} from './fake-file-system.js';
import {QUORUM_SETTINGS} from './quorum-settings.js';
import type {QuorumRound} from './quorum-round.js';
import {
	type ConsensusMessage, type ConsensusSettings, type StoredLog, type Voter, ConsensusNode, FileStorage, getMinVoters, getNextMembership,
} from '@valelead/consensus';

type Vm = {
	readonly name: string;
	disk: FakeFileSystem;
	/** Identity of the voter, which is lost with the disk. */
	id: string;
	/** The running process; undefined while the VM is down or its process reads the log. */
	process: VoterProcess | undefined;
	/** Number of starts. */
	starts: number;
};

type VoterProcess = {
	readonly node: ConsensusNode;
	readonly timers: TimerService;
	/** The newest version that was applied. */
	readonly getVersion: () => number;
};

type Options = {
	readonly size: number;
	readonly losses: number;
	readonly random: () => number;
	readonly mutation: DiskMutation;
	/** Timing of the quorum; that of the simulations if left out. */
	readonly settings?: ConsensusSettings;
};

const FOLDER = 'data';
const STEP_MS = 20;
const MAX_DELAY_MS = 10;
const MAX_DISK_MS = 8;
const JOIN_POLL_MS = 300;
const SILENT_VOTER_MS = 2000;

/** Few entries, so that snapshots are taken and sent within each history. */
const SNAPSHOT_EVERY = 4;

/** Time in which a quorum elects a leader, and in which it admits all VMs, in milliseconds. */
const ELECTION_MS = 12_000;
const JOIN_MS = 12_000;

/** Time in which a change of the voters is committed and known to all of them, in milliseconds. Until then a VM that has joined counts as lost. */
const SETTLE_MS = 1000;

/** Voters as they run in a controller, with logs on simulated disks and a simulated network, in virtual time. */
export class NodeQuorum {
	readonly #clock = new VirtualClock();
	readonly #options: Options;
	readonly #vms: Vm[];
	#isolated: string | undefined;
	#nextId = 1;
	#sent = 0;
	#acknowledged = 0;
	#failure: string | undefined;

	constructor(options: Options) {
		this.#options = options;
		this.#vms = Array.from({length: options.size}, (_, index) => ({
			name: `vm-${index}`, disk: this.#newDisk(), id: this.#newId(), process: undefined, starts: 0,
		}));
	}

	/** Starts all voters as members of one quorum. */
	async start(): Promise<void> {
		const voters = this.#vms.map(vm => this.#getRecord(vm));
		for (const vm of this.#vms) {
			void this.#run(vm, voters);
		}

		await this.#waitForVoters();
	}

	async play({changes, gapMs, isolated, isRestarted, isTransferred, delayMs, lost, isPowerLost, startMs}: QuorumRound): Promise<void> {
		this.#isolated = isolated === undefined ? undefined : this.#vms[isolated]?.name;
		for (let change = 1; change < changes; change += 1) {
			void this.#change();
			await this.#advance(gapMs);
		}

		if (isRestarted) {
			await this.#restart([], false, startMs);
			await this.#waitForLeader();
		}

		if (isTransferred) {
			this.#leader?.node.transferLeadership();
		}

		void this.#change();
		await this.#advance(delayMs);
		this.#isolated = undefined;
		await this.#restart(lost, isPowerLost, startMs);
		await this.#waitForLeader();
		await this.#waitForVoters();
	}

	/**
	 * Replaces the VM of the leader, which is gone for good, by a VM of another name.
	 * @returns The time until all VMs are voters and no other one counts any more, in milliseconds.
	 */
	async replaceLeader(): Promise<number> {
		const index = this.#vms.findIndex(({process}) => process?.node.canRead);
		this.#end(this.#vms[index]);
		const successor: Vm = {
			name: `vm-${this.#vms.length}`, disk: this.#newDisk(), id: this.#newId(), process: undefined, starts: 0,
		};
		this.#vms[index] = successor;
		void this.#run(successor, []);
		const startedAt = this.#clock.now();
		await this.#waitForMembership();
		return this.#clock.now() - startedAt;
	}

	get #leader(): VoterProcess | undefined {
		return this.#vms.find(({process}) => process?.node.canRead)?.process;
	}

	/** Proposes the next version at the leader, if there is one. */
	async #change(): Promise<void> {
		const leader = this.#leader;
		if (!leader) {
			return;
		}

		this.#sent += 1;
		const version = this.#sent;
		try {
			await leader.node.propose(String(version));
			this.#acknowledged = Math.max(this.#acknowledged, version);
		} catch {
			// A change that is rejected may be committed or not.
		}
	}

	/** Ends all processes at once; some VMs lose their disks, and the others may lose their power. */
	async #restart(lost: readonly number[], isPowerLost: boolean, startMs: readonly number[]): Promise<void> {
		for (const [index, vm] of this.#vms.entries()) {
			this.#end(vm);
			if (lost.includes(index)) {
				vm.disk = this.#newDisk();
				vm.id = this.#newId();
			} else if (isPowerLost) {
				vm.disk.losePower();
			}

			const {starts} = vm;
			this.#clock.schedule(startMs[index], () => {
				if (starts === vm.starts) {
					void this.#run(vm, []);
				}
			});
		}
	}

	#end(vm: Vm): void {
		vm.disk.killAfter(0);
		vm.process?.timers.stop();
		vm.process = undefined;
		vm.starts += 1;
	}

	async #run(vm: Vm, voters: readonly Voter[]): Promise<void> {
		const {starts} = vm;
		vm.disk.restart();
		const storage = new FileStorage(FOLDER, vm.disk);
		const first: StoredLog = {
			id: vm.id,
			vm: vm.name,
			hardState: {term: 0, votedFor: undefined},
			snapshot: {
				index: 0, term: 0, voters, data: '',
			},
			entries: [],
		};
		let stored: StoredLog | undefined;
		try {
			stored = await storage.load();
			if (!stored) {
				await storage.create(first);
			}
		} catch (error) {
			if (starts === vm.starts) {
				this.#failure = `${vm.name} cannot start: ${String(error)}`;
			}

			return;
		}

		if (starts === vm.starts) {
			this.#startNode(vm, stored ?? first, storage);
		}
	}

	#startNode(vm: Vm, stored: StoredLog, storage: FileStorage): void {
		const timers = new TimerService(this.#clock, this.#clock);
		let version = 0;
		const node = new ConsensusNode(stored, {
			settings: this.#options.settings ?? QUORUM_SETTINGS,
			clock: this.#clock,
			suspensions: {resumedAt: Number.NEGATIVE_INFINITY},
			processStartedAt: this.#clock.now(),
			timers,
			storage,
			transport: {
				send: (_from, to, message) => {
					this.#send(vm, to.address, message);
				},
			},
			machine: {
				apply(_index, data) {
					version = Math.max(version, Number(data));
				},
				restore(_index, data) {
					version = Number(data);
				},
				save: () => String(version),
			},
			onFailure(error) {
				throw error;
			},
			snapshotEvery: SNAPSHOT_EVERY,
			random: this.#options.random,
		});
		vm.process = {node, timers, getVersion: () => version};
		node.start();
		timers.repeat(JOIN_POLL_MS, () => {
			this.#updateMembership(vm, node);
		});
	}

	#send(from: Vm, address: string, message: ConsensusMessage): void {
		const {starts} = from;
		const sent = structuredClone(message);
		this.#clock.schedule(this.#options.random() * MAX_DELAY_MS, () => {
			const to = this.#vms.find(({name}) => name === address);
			const isCut = from.name === this.#isolated || to?.name === this.#isolated;
			if (!isCut && from.starts === starts) {
				to?.process?.node.receive({id: from.id, address: from.name}, sent);
			}
		});
	}

	/** Lets a voter ask to join if it has no vote or may have lost it, and remove a silent voter if it is the leader, as the daemon does. */
	#updateMembership(vm: Vm, node: ConsensusNode): void {
		const leader = this.#leader?.node;
		if (leader && node.isAskingToJoin && vm.name !== this.#isolated) {
			void this.#configure(leader, getNextMembership(leader.voters, this.#getRecord(vm), leader.isCaughtUp(vm.id)));
		}

		void this.#configure(node, node.getVotersWithoutSilent(SILENT_VOTER_MS, getMinVoters(this.#options.losses)));
	}

	async #configure(leader: ConsensusNode, voters: readonly Voter[] | undefined): Promise<void> {
		try {
			if (voters) {
				await leader.configure(voters);
			}
		} catch {
			// The next poll tries again.
		}
	}

	async #waitForLeader(): Promise<void> {
		await this.#waitFor('a leader', ELECTION_MS, () => this.#leader !== undefined);
	}

	async #waitForVoters(): Promise<void> {
		await this.#waitForMembership();
		await this.#advance(SETTLE_MS);
	}

	async #waitForMembership(): Promise<void> {
		const ids = this.#vms.map(({id}) => id).sort().join(' ');
		await this.#waitFor('all VMs as voters', JOIN_MS, () => {
			const voters = this.#leader?.node.voters.filter(({isLearner}) => !isLearner) ?? [];
			return voters.map(({id}) => id).sort().join(' ') === ids;
		});
	}

	async #waitFor(what: string, limitMs: number, isMet: () => boolean): Promise<void> {
		const endsAt = this.#clock.now() + limitMs;
		while (!isMet()) {
			assert.ok(this.#clock.now() < endsAt, `${what} within ${limitMs} ms`);
			await this.#advance(STEP_MS);
		}
	}

	/** Lets time pass. Whoever can be read from has to have everything that was acknowledged. */
	async #advance(ms: number): Promise<void> {
		const endsAt = this.#clock.now() + ms;
		while (this.#clock.now() < endsAt) {
			await this.#clock.runUntil(Math.min(endsAt, this.#clock.now() + STEP_MS));
			assert.equal(this.#failure, undefined);
			for (const {name, process} of this.#vms) {
				if (process?.node.canRead) {
					const version = process.getVersion();
					assert.ok(version >= this.#acknowledged, `${name} reads version ${version} after ${this.#acknowledged} was acknowledged`);
					assert.ok(version <= this.#sent, `${name} reads version ${version}, which was not sent`);
				}
			}
		}
	}

	#getRecord({id, name}: Vm): Voter {
		return {
			id, vm: name, address: name, isLearner: false,
		};
	}

	#newId(): string {
		this.#nextId += 1;
		return `id-${this.#nextId}`;
	}

	#newDisk(): FakeFileSystem {
		const {random, mutation} = this.#options;
		return new FakeFileSystem(random, mutation, async () => new Promise(resolve => {
			this.#clock.schedule(random() * MAX_DISK_MS, resolve);
		}));
	}
}
