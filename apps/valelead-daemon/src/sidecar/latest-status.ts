import type {Upstream} from '@valelead/discovery';
import {type EngineOrder, ORDER_KIND} from '@valelead/residency';
import type {EngineStatus} from '../adapter/engine-status.js';

/** The models and copies in an engine's announcement. */
type AnnouncedModels = Pick<Upstream, 'models' | 'copiesInMemory' | 'copiesOnDisk'>;

/** An order that the engine accepted, with the order sequence by which a status shows it. */
type AcceptedOrder = {
	readonly order: EngineOrder;
	/** The engine's order sequence once it has accepted the order. */
	readonly sequence: number;
	/** Until this time, in monotonic milliseconds, a status that does not show the order is ignored as stale; afterwards the order counts as lost. */
	readonly until: number;
};

/** How long a status that does not show the last order, or its end, is ignored, in milliseconds. A status is some hundred milliseconds old. */
const STALE_MS = 1000;

const isDoneIn = ({kind, model, adapter}: EngineOrder, {models}: AnnouncedModels): boolean => {
	const isLoaded = models.some(loaded => loaded.name === model);
	return adapter === '' && isLoaded === (kind === ORDER_KIND.Load);
};

/**
 * The newest known status of an engine that receives orders from another machine. A polled status is some hundred milliseconds old, while the
 * engine announces the end of an order at once; this class uses whichever shows more progress of the last order. In the simulated pattern
 * remote-orders, 89 of 100 requests for rare models are served in time with it, and 55 without it.
 */
export class LatestStatus {
	#status: EngineStatus | undefined;
	#accepted: AcceptedOrder | undefined;
	/** True if an announcement has shown that the last order is done; a polled status may not show it yet. */
	#isDone = false;

	get value(): EngineStatus | undefined {
		return this.#status;
	}

	/** True if the known status shows the last accepted order. */
	get isCurrent(): boolean {
		return this.#status !== undefined && this.#status.orderSequence >= (this.#accepted?.sequence ?? 0);
	}

	/** Discards everything: a new run of the engine has none of the models and orders of the previous run. */
	reset(): void {
		this.#status = undefined;
		this.#accepted = undefined;
		this.#isDone = false;
	}

	noteAccepted(order: EngineOrder, expectedSequence: number, now: number): void {
		this.#accepted = {order, sequence: expectedSequence + 1, until: now + STALE_MS};
		this.#isDone = false;
	}

	/** Applies a polled status unless it is stale. Returns true if the known status may now be used for a decision. */
	update(status: EngineStatus, now: number): boolean {
		if (!this.#isStale(status, now)) {
			this.#status = status;
			this.#isDone = false;
			return true;
		}

		return this.#isDone;
	}

	/** Applies an announcement if it shows the end of the last order. Returns true if it does. */
	applyAnnouncement(announced: AnnouncedModels, now: number): boolean {
		if (!this.#status || !this.#accepted || this.#isDone || !isDoneIn(this.#accepted.order, announced)) {
			return false;
		}

		const {models, copiesInMemory, copiesOnDisk} = announced;
		this.#isDone = true;
		this.#accepted = {...this.#accepted, until: now + STALE_MS};
		this.#status = {
			...this.#status, models, copiesInMemory, copiesOnDisk, isBusy: false, orderSequence: this.#accepted.sequence,
		};
		return true;
	}

	#isStale({orderSequence, isBusy}: EngineStatus, now: number): boolean {
		if (!this.#accepted || now >= this.#accepted.until) {
			return false;
		}

		return orderSequence < this.#accepted.sequence || (this.#isDone && isBusy && orderSequence === this.#accepted.sequence);
	}
}
