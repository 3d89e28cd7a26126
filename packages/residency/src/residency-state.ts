/** What the choice of what makes way remembers. */
export type ResidencyState = {
	/** When each unit was last needed, in monotonic milliseconds. */
	readonly lastUsedAt: Map<string, number>;
};
