import type {PeerProgress} from './peer-progress.js';

/** Returns the progress of a member from which this leader has received no reply yet. */
export const newPeerProgress = (lastIndex: number, now: number): PeerProgress => ({
	nextIndex: lastIndex + 1, matchIndex: 0, ackedSentAt: Number.NEGATIVE_INFINITY, joinedAt: now,
});
