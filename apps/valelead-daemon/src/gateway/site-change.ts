/** A wish that is left at one engine for another one. Times in milliseconds. */
export type SiteChange = {
	/** Names the wish: a unit, or a replica of one. */
	readonly key: string;
	readonly fromUpstreamId: string;
	readonly toUpstreamId: string;
	/** For how long it stood at the engine that it leaves. */
	readonly stoodMs: number;
	/** Until it is expected to be loaded at the new one. */
	readonly expectedMs: number;
	/** Whether the engine that it leaves did not begin in time. */
	readonly isStuck: boolean;
};
