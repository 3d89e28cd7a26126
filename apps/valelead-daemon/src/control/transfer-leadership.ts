import type {TimerService} from '@valelead/common';
import type {Voter} from './voter.js';

/** How long the old leader keeps serving after it has started the transfer, in milliseconds; the successor wins its election within this time. */
const TRANSFER_WAIT_MS = 300;

/** Transfers leadership to another voter before a planned stop, if this voter is the leader. */
export const transferLeadership = async (voter: Voter, timers: TimerService): Promise<void> => {
	if (voter.node?.isLeader) {
		voter.node.transferLeadership();
		await timers.wait(TRANSFER_WAIT_MS);
	}
};
