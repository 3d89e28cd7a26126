import {Buffer} from 'node:buffer';
import {create} from '@bufbuild/protobuf';
import {RESULT_CODE, type TimerService} from '@valelead/common';
import type {VirtualClock} from '@valelead/emulator';
import {
	type Intent, type Proposal, mutateIntent, newIntent,
} from '@valelead/intent';
import {FollowerReportSchema} from '@valelead/protocol';
import type {Logger} from 'pino';
import {QuarantineRegistry, encodeCrash} from 'valelead-daemon';
import type {LabGateway} from './lab-gateway.js';

type QuarantineParts = {
	readonly clock: VirtualClock;
	readonly timers: TimerService;
	readonly logger: Logger;
	readonly linkMs: number;
	readonly getGateways: () => readonly LabGateway[];
};

/** How often gateways hear the leader, in milliseconds. */
const HEARTBEAT_MS = 500;

/** The shipped judgement of a leader on requests that crash engines, over a log without other voters. */
export class LabQuarantine {
	readonly #parts: QuarantineParts;
	readonly #registry: QuarantineRegistry;
	readonly #intent: Intent = newIntent();
	readonly #listeners: Array<() => void> = [];

	constructor(parts: QuarantineParts) {
		this.#parts = parts;
		this.#registry = new QuarantineRegistry({
			...parts,
			voter: {
				node: {term: 1, isCurrentLeader: true},
				machine: {
					intent: this.#intent,
					subscribe: listener => {
						this.#listeners.push(listener);
					},
				},
				propose: async proposal => this.#commit(proposal),
			},
			getPauseThreshold: () => undefined,
			onChange: () => {
				this.#push();
			},
		});
		this.#registry.start();
		parts.timers.repeat(HEARTBEAT_MS, now => {
			for (const gateway of parts.getGateways()) {
				gateway.crashExchange.noteReported(now, true);
			}
		});
	}

	/** The fingerprints of the requests that are kept from engines. */
	get quarantined(): string[] {
		return [...this.#intent.quarantines.keys()];
	}

	/** A gateway tells what it knows of crashes. */
	report(gateway: LabGateway): void {
		const {clock, linkMs} = this.#parts;
		const {crashes, served} = gateway.crashExchange.getReport(false);
		const report = create(FollowerReportSchema, {
			crashes: crashes.map(crash => encodeCrash(crash)), served: served.map(fingerprint => Uint8Array.from(Buffer.from(fingerprint, 'hex'))),
		});
		const reportedAt = clock.now();
		clock.schedule(linkMs, () => {
			this.#registry.note(report);
		});
		// There and back, and once more for the other gateways' confirmation.
		clock.schedule(4 * linkMs, () => {
			gateway.crashExchange.noteReachableGatewaysApplied(reportedAt);
			gateway.crashExchange.noteAllGatewaysApplied(reportedAt);
		});
	}

	#push(): void {
		const {clock, linkMs, getGateways} = this.#parts;
		clock.schedule(linkMs, () => {
			for (const gateway of getGateways()) {
				gateway.crashExchange.applyQuarantine(this.#registry.getList(), true);
			}
		});
	}

	#commit(proposal: Proposal): {code: typeof RESULT_CODE.Ok; message: string; revision: number} {
		const {revision} = mutateIntent(this.#intent, proposal);
		for (const listener of this.#listeners) {
			listener();
		}

		return {code: RESULT_CODE.Ok, message: '', revision};
	}
}
