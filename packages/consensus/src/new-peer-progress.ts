import type {PeerProgress} from './peer-progress.js';

/** A member that this leader has not heard yet. */
export const newPeerProgress = (lastIndex: number, now: number): PeerProgress => ({
	nextIndex: lastIndex + 1, matchIndex: 0, ackedSentAt: Number.NEGATIVE_INFINITY, joinedAt: now,
});
