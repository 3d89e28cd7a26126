/** A dispatch that is remembered to tell which requests went before one that was overdue. */
export type RecentDispatch = {
	readonly className: string;
	readonly vm: string;
	/** In monotonic milliseconds. */
	readonly at: number;
};
