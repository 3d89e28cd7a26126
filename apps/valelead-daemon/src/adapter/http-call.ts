/** An HTTP request that the adapter has written. */
export type HttpCall = {
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: string;
};
