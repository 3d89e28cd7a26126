/** A term, and when this voter first knew of it. */
export type TermSighting = {
	readonly term: number;
	/** In monotonic milliseconds. */
	readonly at: number;
};
