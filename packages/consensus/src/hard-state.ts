/** What a voter must not forget across a restart. */
export type HardState = {
	readonly term: number;
	readonly votedFor: string | undefined;
};
