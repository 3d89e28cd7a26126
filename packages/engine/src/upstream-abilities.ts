/** What an upstream can do beyond answering. */
export type UpstreamAbilities = {
	/** Refuses orders with an old fencing number. */
	readonly checksFence: boolean;
	readonly resumesStreams: boolean;
	readonly honoursPriorities: boolean;
};
