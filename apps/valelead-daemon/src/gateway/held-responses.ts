import {ResponseBudget} from '@valelead/answer';
import type {TimerService} from '@valelead/common';
import type {Logger} from 'pino';
import {BYTES_PER_MB} from '../bytes-per-mb.js';
import type {HeldResponse} from './held-response.js';

type HeldResponsesParts = {
	/** The memory that the process may use, in megabytes. */
	readonly memoryMb: number;
	/** Time after which a caller that reads nothing is disconnected, in milliseconds. */
	readonly callerStallMs: number;
	readonly timers: TimerService;
	readonly logger: Logger;
	/** Called for each response that is ended, with the reason. */
	readonly onEnded: (reason: EndReason) => void;
	/** Collects the buffers of responses that have been ended, at once; absent if they are left to the regular collection. */
	readonly collectGarbage?: () => void;
};

/** Why a response is ended: its own size, the budget of all responses, or a caller that does not read. */
type EndReason = 'size' | 'budget' | 'caller';

type Progress = {
	readonly sentBytes: number;
	readonly ticks: number;
};

/**
 * The share of the process's memory that responses may occupy. A gateway needs 70 to 110 MB without them, and a buffer occupies up to twice its size
 * until it is collected, so that 210 MB leave room for 26 MB.
 */
const BUDGET_SHARE = 1 / 8;

/** The share of the budget that one response may occupy, so that a single one leaves room for others. At 210 MB it is 19 MB. */
const RESPONSE_SHARE = 3 / 4;

/** Interval at which stalled callers are looked for, and at which the buffers of ended responses are collected, in milliseconds. A collection takes 10 to 30 ms. */
const TICK_MS = 250;

const REASON_TEXTS: Readonly<Record<EndReason, string>> = {
	size: 'the answer is larger than a gateway holds',
	budget: 'the answer is the largest of those that exceed the memory for answers',
	caller: 'the caller does not read its answer',
};

/** Bounds the memory that responses occupy at a gateway, and the time for which a caller that reads nothing may occupy it. */
export class HeldResponses {
	/** The most bytes that may be held for one response. */
	readonly maxResponseBytes: number;
	readonly #parts: HeldResponsesParts;
	readonly #budget: ResponseBudget<HeldResponse>;
	readonly #maxTicks: number;
	#progress = new Map<HeldResponse, Progress>();
	/** True if buffers of responses that were ended may still occupy memory. */
	#isCollectionDue = false;

	constructor(parts: HeldResponsesParts) {
		const budgetBytes = parts.memoryMb * BYTES_PER_MB * BUDGET_SHARE;
		this.#parts = parts;
		this.#budget = new ResponseBudget(budgetBytes);
		this.#maxTicks = Math.ceil(parts.callerStallMs / TICK_MS);
		this.maxResponseBytes = budgetBytes * RESPONSE_SHARE;
		parts.timers.repeat(TICK_MS, () => {
			this.#endStalled();
			this.#collect();
		});
	}

	get totalBytes(): number {
		return this.#budget.totalBytes;
	}

	/** Sets the bytes that are held for a response, and ends the response or the largest one if that is too much. */
	set(response: HeldResponse, bytes: number): void {
		const largest = this.#budget.set(response, bytes);
		if (bytes > this.maxResponseBytes) {
			this.#end(response, 'size');
		} else if (largest) {
			this.#end(largest, 'budget');
		}
	}

	/**
	 * Disconnects callers that have read nothing for too long. The time is counted in ticks of this process, so that a process that was suspended
	 * does not disconnect callers that it could not send anything to meanwhile.
	 */
	#endStalled(): void {
		const previous = this.#progress;
		this.#progress = new Map();
		for (const response of this.#budget.holders) {
			const {sentBytes} = response;
			if (sentBytes === undefined) {
				continue;
			}

			const last = previous.get(response);
			const ticks = last?.sentBytes === sentBytes ? last.ticks + 1 : 0;
			if (ticks >= this.#maxTicks) {
				this.#end(response, 'caller');
			} else {
				this.#progress.set(response, {sentBytes, ticks});
			}
		}
	}

	/** Frees the buffers of ended responses: V8 would keep up to 64 MB of them for as long as its heap does not grow. */
	#collect(): void {
		if (this.#isCollectionDue) {
			this.#isCollectionDue = false;
			this.#parts.collectGarbage?.();
		}
	}

	#end(response: HeldResponse, reason: EndReason): void {
		this.#parts.logger.info({
			event: 'answer-given-up', requestId: response.requestId, reason, heldBytes: this.#budget.totalBytes,
		}, REASON_TEXTS[reason]);
		this.#parts.onEnded(reason);
		response.endHeld(REASON_TEXTS[reason]);
		this.#isCollectionDue = true;
	}
}
