import {type TimerService, RESULT_CODE, SYSTEM_CLOCK} from '@valelead/common';
import {type Command, isOlderIncarnation} from '@valelead/intent';
import {
	type EntryReport, type Fleet, type MembershipSettings, type VmReport, getLostVms, getReportCommand, mutateExpiredEntries, newFleet,
} from '@valelead/membership';
import {
	type PlacementDecision, type PlacementState, type PolicySettings, decidePlacement, newPlacementState,
} from '@valelead/placement';
import type {Logger} from 'pino';
import {newPlacementView} from './new-placement-view.js';
import type {Voter} from './voter.js';

type LeaderParts = {
	readonly voter: Voter;
	readonly membership: MembershipSettings;
	readonly policy: PolicySettings;
	readonly timers: TimerService;
	readonly logger: Logger;
};

/** Interval between placement rounds, in milliseconds. Demand for a unit that is not loaded is handled at once; other decisions wait for a round. */
const ROUND_MS = 100;

/** The state that an agent reports for a unit whose repeated loads have failed; its replica is revoked. */
const FAILED_STATE = 'failed';

/** The duties of the leader besides replication: it tracks the leases of entries and VMs, registers VMs and decides the placement of units. */
export class Leader {
	readonly #parts: LeaderParts;
	#fleet: Fleet = newFleet();
	#placement: PlacementState;
	#arrivals = new Map<string, number>();
	#term = -1;
	#leaderSince = 0;
	#isDeciding = false;
	readonly #vmsWithCommand = new Set<string>();

	constructor(parts: LeaderParts) {
		this.#parts = parts;
		this.#placement = newPlacementState(parts.policy, SYSTEM_CLOCK.now());
	}

	get fleet(): Fleet {
		return this.#fleet;
	}

	get membership(): MembershipSettings {
		return this.#parts.membership;
	}

	get placement(): PlacementState {
		return this.#placement;
	}

	start(): void {
		this.#parts.timers.repeat(ROUND_MS, now => {
			if (this.#parts.voter.node?.isCurrentLeader) {
				this.#checkTerm(now);
				void this.#decide(now);
			}
		});
	}

	/** Processes the heartbeat of an entry, which reports the demand for each unit. */
	handleEntryReport(report: EntryReport, now: number): void {
		this.#checkTerm(now);
		this.#fleet.entries.set(report.vm, {report, receivedAt: now});
		const hasDemand = report.demands.some(demand => demand.waiting > 0 && demand.arrivals > 0);
		for (const demand of report.demands) {
			if (demand.arrivals > 0) {
				this.#arrivals.set(demand.unit, (this.#arrivals.get(demand.unit) ?? 0) + demand.arrivals);
			}
		}

		if (hasDemand) {
			void this.#decide(now);
		}
	}

	/** Processes the heartbeat of an agent. Returns false if a newer agent is registered for the VM. */
	handleVmReport(report: VmReport, now: number): boolean {
		this.#checkTerm(now);
		const known = this.#parts.voter.machine.intent.vms.get(report.vm);
		if (known && isOlderIncarnation(report.incarnation, known.incarnation)) {
			return false;
		}

		this.#fleet.vms.set(report.vm, {report, receivedAt: now});
		void this.#proposeReportCommand(report);
		return true;
	}

	/** Drops the state in memory when the term changes, as it may be outdated by what another leader did since. */
	#checkTerm(now: number): void {
		const {node} = this.#parts.voter;
		if (!node || node.term === this.#term) {
			return;
		}

		this.#term = node.term;
		this.#leaderSince = now;
		this.#fleet = newFleet();
		this.#arrivals = new Map();
		this.#placement = newPlacementState(this.#parts.policy, now);
	}

	/** Proposes the command that a report calls for. One command per VM is in progress at a time; the next report repeats what is still due. */
	async #proposeReportCommand(report: VmReport): Promise<void> {
		const command = getReportCommand(this.#parts.voter.machine.intent, report);
		if (!command || this.#vmsWithCommand.has(report.vm)) {
			return;
		}

		this.#vmsWithCommand.add(report.vm);
		await this.#propose([command]);
		this.#vmsWithCommand.delete(report.vm);
	}

	async #decide(now: number): Promise<void> {
		if (this.#isDeciding) {
			return;
		}

		this.#isDeciding = true;
		mutateExpiredEntries(this.#fleet, this.#parts.membership, now);
		const {intent} = this.#parts.voter.machine;
		const arrivals = this.#arrivals;
		this.#arrivals = new Map();
		const view = newPlacementView({
			intent, fleet: this.#fleet, membership: this.#parts.membership, state: this.#placement, arrivals, now,
		});
		const decisions = decidePlacement(this.#placement, this.#parts.policy, view, now);
		const commands = [...decisions.map(decision => this.#toCommand(decision)), ...this.#getFailedLoadCommands(), ...this.#getLostVmCommands(now)];
		await Promise.all(commands.map(async command => this.#propose([command])));
		this.#isDeciding = false;
	}

	#toCommand(decision: PlacementDecision): Command {
		return decision.kind === 'grant'
			? {kind: 'grant', unit: decision.unit, vm: decision.vm}
			: {kind: 'revoke', grantId: decision.grantId};
	}

	/** Returns commands that revoke the replicas that their engine failed to load, so that another VM can be chosen. */
	#getFailedLoadCommands(): Command[] {
		const {intent} = this.#parts.voter.machine;
		const commands: Command[] = [];
		for (const grant of intent.grants.values()) {
			const units = this.#fleet.vms.get(grant.vm)?.report.units;
			const isFailed = units?.some(unit => unit.unit === grant.unit && unit.state === FAILED_STATE);
			if (isFailed && !grant.isRevoking) {
				commands.push({kind: 'revoke', grantId: grant.id});
			}
		}

		return commands;
	}

	#getLostVmCommands(now: number): Command[] {
		const {intent} = this.#parts.voter.machine;
		const lost = getLostVms(this.#fleet, this.#parts.membership, [...intent.vms.keys()], this.#leaderSince, now);
		return lost.map(name => ({kind: 'forgetVm', name}));
	}

	async #propose(commands: readonly Command[]): Promise<void> {
		try {
			const result = await this.#parts.voter.propose({commandId: '', commands});
			const [command] = commands;
			this.#parts.logger.info({
				event: 'decision', command, code: result.code, revision: result.revision, reason: result.message,
			}, result.code === RESULT_CODE.Ok ? 'decision committed' : 'decision refused');
		} catch (error) {
			this.#parts.logger.warn({event: 'decision-lost', reason: (error as Error).message}, 'decision not committed');
		}
	}
}
