import type {TimerService} from '@valelead/common';
import type {Voter} from './voter.js';

/** How long the successor has to take over before the old leader stops answering, in milliseconds. */
const HAND_OVER_MS = 300;

/** Gives the lead to another voter before a planned stop, if this one leads. */
export const transferLeadership = async (voter: Voter, timers: TimerService): Promise<void> => {
	if (voter.node?.isLeader) {
		voter.node.transfer();
		await timers.wait(HAND_OVER_MS);
	}
};
