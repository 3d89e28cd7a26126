import assert from 'node:assert/strict';
import {
	type Command, type Intent, getUnitKey, mutateIntent, newIntent,
} from '@valelead/intent';
import {
	type MembershipSettings, type VmReport, getReportCommand, getVmOrders, isRegistered, newFleet,
} from '@valelead/membership';
import {type PolicySettings, decidePlacement, newPlacementState} from '@valelead/placement';
import {newPlacementView} from 'valelead-daemon';
import {newRandom} from '../support/new-random.js';
import {VirtualNetwork} from '../support/virtual-network.js';
import {VirtualProcess} from '../support/virtual-process.js';
import {VirtualTime} from '../support/virtual-time.js';
import {FakeAgent} from './fake-agent.js';
import {FakeEngineVm} from './fake-engine-vm.js';
import type {FleetMutation} from './fleet-mutation.js';

const GIB = 2 ** 30;
const POLICY: PolicySettings = {
	coldStartWeight: 1, idleWeight: 2, loadsPerSecond: 20, concurrentLoads: 4, assumedLoadMsPerGib: 100,
};
const MEMBERSHIP: MembershipSettings = {leaseMs: 1000, assumeLostMs: 0};
const ROUND_MS = 50;
const STEP_MS = 10;

/** Models of different sizes with few replicas, on VMs that cannot hold them all. */
const MODELS = [
	{name: 'small', memoryGib: 2, maxReplicas: 2},
	{name: 'middle', memoryGib: 4, maxReplicas: 1},
	{name: 'large', memoryGib: 6, maxReplicas: 1},
] as const;

/**
 * Agents and engines under a leader that is replaced now and then. The log is one list, as the consensus is
 * proved by itself. The oracle looks into the engines: each holds only what is granted to it, within its
 * memory, and no model is on more VMs than it may be.
 */
export class FakeFleet {
	readonly time = new VirtualTime();
	/** Between agents and the leader. */
	readonly network: VirtualNetwork;
	/** Between agents and their engines. */
	readonly localNetwork: VirtualNetwork;
	readonly leader: VirtualProcess;
	readonly agents: FakeAgent[] = [];
	readonly intent: Intent = newIntent();
	readonly wanted = new Map<string, number>();
	readonly #mutation: FleetMutation;
	readonly #arrivals = new Map<string, number>();
	#fleet = newFleet();
	#placement = newPlacementState(POLICY, 0);

	constructor(seed: number, mutation: FleetMutation) {
		this.#mutation = mutation;
		this.network = new VirtualNetwork(this.time, newRandom(seed));
		this.localNetwork = new VirtualNetwork(this.time, newRandom(seed + 1));
		this.leader = new VirtualProcess(this.time);
		for (const {name, memoryGib, maxReplicas} of MODELS) {
			this.execute({
				kind: 'createModel', name, memoryBytes: memoryGib * GIB, maxReplicas,
			});
		}

		this.execute({
			kind: 'createAdapter', model: 'small', name: 'tuned', memoryBytes: GIB, maxReplicas: 1,
		});
		for (const index of [0, 1, 2]) {
			const name = `vm-${index}`;
			const engine = new FakeEngineVm(name, this.time, 8 * GIB, index === 0);
			this.agents.push(new FakeAgent(name, this.time, this.localNetwork, engine, mutation, (report, sentAt) => {
				this.#report(report, sentAt);
			}));
		}

		this.#decide();
	}

	execute(command: Command): void {
		mutateIntent(this.intent, {commandId: '', commands: [command]});
	}

	/** Requests for a model begin or cease to wait. */
	want(name: string, waiting: number): void {
		const unit = getUnitKey(this.intent, name)!;
		this.wanted.set(unit, waiting);
		this.#arrivals.set(unit, waiting);
	}

	/** A new leader knows only what the log holds. */
	replaceLeader(): void {
		this.leader.crash();
		this.leader.restart();
		this.#fleet = newFleet();
		this.#placement = newPlacementState(POLICY, this.time.now);
		this.#decide();
	}

	advance(ms: number): void {
		const endsAt = this.time.now + ms;
		while (this.time.now < endsAt) {
			this.time.advance(STEP_MS);
			this.check();
		}
	}

	heal(): void {
		this.network.heal();
		this.localNetwork.heal();
		this.leader.thaw();
		for (const agent of this.agents) {
			agent.process.thaw();
			agent.engine.process.thaw();
			if (!agent.engine.process.isUp) {
				agent.engine.process.restart();
			}

			if (!agent.process.isUp) {
				agent.restart();
			}
		}
	}

	check(): void {
		for (const {engine} of this.agents) {
			assert.ok(engine.usedBytes <= engine.memoryBytes, `an engine holds ${engine.usedBytes} of ${engine.memoryBytes} bytes at ${this.time.now}`);
		}

		for (const [index, {engine}] of this.agents.entries()) {
			const grants = new Set((this.intent.grantsByVm.get(`vm-${index}`) ?? []).map(grantId => this.intent.grants.get(grantId)!.unit));
			for (const unit of engine.units.keys()) {
				assert.ok(grants.has(unit), `vm-${index} holds ${unit} without a grant at ${this.time.now}`);
			}
		}

		for (const {name, maxReplicas} of MODELS) {
			const holders = this.agents.filter(({engine}) => engine.units.has(`${name}@v1`)).length;
			assert.ok(holders <= maxReplicas, `${holders} VMs hold ${name} at ${this.time.now}`);
		}
	}

	/** Once all is healed, what is wanted is loaded, and what is not wanted is given up in the end. */
	settle(): void {
		this.heal();
		for (const unit of this.wanted.keys()) {
			this.wanted.set(unit, 0);
		}

		this.want('middle', 3);
		this.advance(12_000);
		assert.ok(this.agents.some(({engine}) => engine.units.get('middle@v1')?.state === 'ready'), `middle is not loaded at ${this.time.now}: ${this.#describe()}`);
	}

	#describe(): string {
		const grants = [...this.intent.grants.values()].map(grant => `${grant.id}${grant.isRevoking ? ' revoking' : ''}`);
		const units = this.agents.map(({state}) => [...state.units.values()].map(unit => `${unit.unit} ${unit.state} ${unit.grantId}`).join(', '));
		return `grants ${grants.join(', ')}; agents ${units.join(' | ')}`;
	}

	#report(report: VmReport, sentAt: number): void {
		this.network.send(report.vm, 'leader', () => {
			this.leader.take(() => {
				this.#takeReport(report, sentAt);
			});
		});
	}

	#takeReport(report: VmReport, sentAt: number): void {
		this.#fleet.vms.set(report.vm, {report, receivedAt: this.time.now});
		const command = getReportCommand(this.intent, report);
		if (command) {
			this.execute(command);
		}

		if (!isRegistered(this.intent, report)) {
			return;
		}

		const orders = getVmOrders(this.intent, report.vm);
		const agent = this.agents[Number(report.vm.slice(-1))];
		const {run} = agent.process;
		this.network.send('leader', report.vm, () => {
			if (run === agent.process.run) {
				agent.process.take(() => {
					agent.takeOrders(orders, sentAt);
				});
			}
		});
	}

	#decide(): void {
		this.leader.after(ROUND_MS, () => {
			const view = newPlacementView({
				intent: this.intent, fleet: this.#fleet, membership: MEMBERSHIP, state: this.#placement, arrivals: new Map(this.#arrivals), now: this.time.now,
			});
			this.#arrivals.clear();
			for (const decision of decidePlacement(this.#placement, POLICY, view, this.time.now)) {
				this.execute(decision);
			}

			this.#forgetSilent();
			this.#setDemand();
			this.#decide();
		});
	}

	#setDemand(): void {
		const demands = [...this.wanted].map(([unit, waiting]) => ({
			unit, waiting, weight: waiting, mostRemainingMs: 10_000, arrivals: 0, inProgress: 0,
		}));
		this.#fleet.entries.set('entry', {
			receivedAt: this.time.now,
			report: {
				vm: 'entry', revision: 0, demands, inProgress: 0, waiting: 0,
			},
		});
	}

	/** The mistake of taking silence for proof. */
	#forgetSilent(): void {
		if (this.#mutation !== 'silence counts as proof') {
			return;
		}

		for (const [vm, {receivedAt}] of this.#fleet.vms) {
			if (this.time.now - receivedAt > MEMBERSHIP.leaseMs) {
				this.execute({kind: 'forgetVm', name: vm});
			}
		}
	}
}
