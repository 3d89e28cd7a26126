import type {Upstream} from './upstream.js';

/** An upstream in a follower's copy of the directory. */
type CopiedUpstream = {
	upstream: Upstream;
	/** When the follower learned of a new leader that has not confirmed the upstream yet, in monotonic milliseconds; undefined once confirmed. */
	unconfirmedSince: number | undefined;
};

/** A follower's copy of the leader's directory of upstreams. */
export type DirectoryCopy = {
	epoch: string;
	version: number;
	readonly upstreams: Map<string, CopiedUpstream>;
};
