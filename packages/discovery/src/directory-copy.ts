import type {Upstream} from './upstream.js';

/** An upstream as a follower of the directory knows it. */
type CopiedUpstream = {
	upstream: Upstream;
	/** When a new leadership began that has not confirmed the upstream yet, in monotonic milliseconds. */
	unconfirmedSince: number | undefined;
};

/** A follower's copy of the directory. */
export type DirectoryCopy = {
	epoch: string;
	version: number;
	readonly upstreams: Map<string, CopiedUpstream>;
};
