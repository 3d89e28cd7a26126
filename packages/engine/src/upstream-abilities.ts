/** Optional features that an upstream supports. */
export type UpstreamAbilities = {
	/** True if the upstream refuses orders with an outdated fencing token. */
	readonly checksFence: boolean;
	readonly resumesStreams: boolean;
	readonly honoursPriorities: boolean;
};
