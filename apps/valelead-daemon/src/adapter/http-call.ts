/** An HTTP request that the platform's codec has encoded. */
export type HttpCall = {
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: string;
};
