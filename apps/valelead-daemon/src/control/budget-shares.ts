import type {Clock} from '@valelead/common';
import type {Logger} from 'pino';
import type {GatewayLog} from './gateway-log.js';

type SharesParts = {
	readonly voter: GatewayLog;
	readonly clock: Clock;
	readonly logger: Logger;
};

/**
 * A lower number of gateways is committed after this leader has heard no more for this time, in milliseconds: the lease of a share that an earlier leader
 * granted has ended by then, and what was spent under it is older than a budget window.
 */
const LOWER_COUNT_DELAY_MS = 20_000;

/**
 * Decides into how many shares the common budgets are divided. Runs on the leader. The number is kept in the replicated log, so that a new leader counts
 * gateways that it has not heard and that still spend the share which an earlier leader gave them.
 */
export class BudgetShares {
	readonly #parts: SharesParts;
	#term = -1;
	#heardCount = 0;
	/** Since when this leader has heard fewer gateways than the committed number, in monotonic milliseconds; undefined while it has not. */
	#fewerSince: number | undefined;
	/** The number that was proposed last and is not committed yet. */
	#proposed: number | undefined;

	constructor(parts: SharesParts) {
		this.#parts = parts;
	}

	/** Number of shares; 0 while this voter cannot tell. */
	get count(): number {
		const {node, machine} = this.#parts.voter;
		this.#checkTerm();
		return node?.canRead ? Math.max(this.#heardCount, machine.gatewayCount) : 0;
	}

	/** Processes the number of gateways that report to this leader. Must be called often compared with a budget window. */
	note(heardCount: number): void {
		this.#checkTerm();
		const {node, machine} = this.#parts.voter;
		if (!node?.canRead) {
			return;
		}

		const now = this.#parts.clock.now();
		this.#heardCount = heardCount;
		this.#fewerSince = heardCount < machine.gatewayCount ? this.#fewerSince ?? now : undefined;
		const isLower = this.#fewerSince !== undefined && now - this.#fewerSince >= LOWER_COUNT_DELAY_MS;
		if ((heardCount > machine.gatewayCount || isLower) && heardCount !== this.#proposed) {
			void this.#change(heardCount);
		}
	}

	async #change(count: number): Promise<void> {
		this.#proposed = count;
		try {
			await this.#parts.voter.changeGatewayCount(count);
			this.#parts.logger.info({event: 'gateway-count', count}, 'number of gateways that share the common budgets changed');
		} catch (error) {
			this.#parts.logger.warn({event: 'decision-lost', reason: (error as Error).message}, 'number of gateways not committed');
		}

		if (this.#proposed === count) {
			this.#proposed = undefined;
		}
	}

	#checkTerm(): void {
		const term = this.#parts.voter.node?.term ?? 0;
		if (term !== this.#term) {
			this.#term = term;
			this.#heardCount = 0;
			this.#fewerSince = undefined;
			this.#proposed = undefined;
		}
	}
}
