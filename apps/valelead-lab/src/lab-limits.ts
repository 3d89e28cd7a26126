import {create} from '@bufbuild/protobuf';
import type {TimerService} from '@valelead/common';
import type {VirtualClock} from '@valelead/emulator';
import {FollowerReportSchema} from '@valelead/protocol';
import type {Logger} from 'pino';
import {LimitRegistry, encodeLimitReport} from 'valelead-daemon';
import type {LabGateway} from './lab-gateway.js';

type LimitsParts = {
	readonly clock: VirtualClock;
	readonly timers: TimerService;
	readonly logger: Logger;
	readonly linkMs: number;
	readonly getGateways: () => readonly LabGateway[];
};

/** How often gateways report, in milliseconds, and the shortest time between two reports of one. */
const REPORT_MS = 500;
const COALESCE_MS = 3;

/** The shipped registry of a leader on the limits that engines name. */
export class LabLimits {
	readonly #parts: LimitsParts;
	readonly #registry: LimitRegistry;
	/** The version of the limits that each gateway was told. */
	readonly #told = new Map<LabGateway, number>();
	readonly #due = new Set<LabGateway>();

	constructor(parts: LimitsParts) {
		this.#parts = parts;
		this.#registry = new LimitRegistry({
			...parts,
			voter: {node: {term: 1, isCurrentLeader: true}},
			isAnnounced: () => true,
			onChange: () => {
				for (const gateway of parts.getGateways()) {
					this.#answer(gateway, parts.clock.now(), undefined);
				}
			},
		});
		this.#registry.start();
		parts.timers.repeat(REPORT_MS, () => {
			for (const gateway of parts.getGateways()) {
				this.report(gateway);
			}
		});
	}

	/** A gateway reports soon. */
	report(gateway: LabGateway): void {
		if (this.#due.has(gateway)) {
			return;
		}

		this.#due.add(gateway);
		this.#parts.clock.schedule(COALESCE_MS, () => {
			this.#due.delete(gateway);
			this.#exchange(gateway);
		});
	}

	#exchange(gateway: LabGateway): void {
		const {clock, linkMs} = this.#parts;
		const sentAt = clock.now();
		const report = create(FollowerReportSchema, encodeLimitReport(gateway.limitExchange.getReport(sentAt, false), sentAt));
		clock.schedule(linkMs, () => {
			this.#answer(gateway, sentAt, this.#registry.note(gateway.name, report));
		});
	}

	#answer(gateway: LabGateway, reportedAt: number, loans: ReturnType<LimitRegistry['note']>): void {
		const {clock, linkMs} = this.#parts;
		const grant = this.#registry.newGrant(gateway.name, loans);
		const isBehind = this.#told.get(gateway) !== this.#registry.version;
		const limits = isBehind ? this.#registry.getList() : undefined;
		this.#told.set(gateway, this.#registry.version);
		clock.schedule(linkMs, () => {
			gateway.limitExchange.handleUpdate({limits, grant, reportedAt});
		});
	}
}
