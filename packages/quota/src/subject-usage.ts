/** What a process tells of one subject since its last report. */
export type SubjectUsage = {
	readonly subject: string;
	/** Units that requests have used. */
	readonly used: number;
	/** Units that it gives back. */
	readonly returned: number;
	/** Units that it would like to have in hand for requests to come. */
	readonly wanted: number;
	/** What each of the requests that wait for units counts, in the order in which they are served. */
	readonly needs: readonly number[];
};
