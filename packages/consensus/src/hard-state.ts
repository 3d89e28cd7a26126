/** The part of a voter's state, besides its log, that must survive a restart. */
export type HardState = {
	readonly term: number;
	readonly votedFor: string | undefined;
};
