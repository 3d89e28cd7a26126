import type {Clock} from '@valelead/common';
import {type Upstream, isWithdrawalRecorded} from '@valelead/discovery';
import type {Logger} from 'pino';
import type {WithdrawalLog} from './withdrawal-log.js';

type RecorderParts = {
	readonly voter: WithdrawalLog;
	readonly clock: Clock;
	readonly logger: Logger;
};

/**
 * Records in the replicated log which runs of upstreams are draining or have departed. The directory of upstreams lasts for one term only, but a withdrawal
 * that was acknowledged must also be known to the next leader. Runs on the leader.
 */
export class WithdrawalRecorder {
	readonly #parts: RecorderParts;

	constructor(parts: RecorderParts) {
		this.#parts = parts;
	}

	/** Resolves once the declared state of a run is in the replicated log. */
	async record(upstream: Upstream): Promise<void> {
		const {voter, clock, logger} = this.#parts;
		if (voter.node?.canRead && isWithdrawalRecorded(voter.machine.withdrawals, upstream, clock.wallNow())) {
			return;
		}

		await voter.withdraw({
			...upstream, models: [], copiesInMemory: [], copiesOnDisk: [],
		});
		logger.info({event: 'withdrawal-recorded', upstreamId: upstream.id, state: upstream.state}, 'withdrawal of an upstream committed');
	}
}
