/** A caller's request of the test. An empty key marks one that may be repeated. */
export type FakeRequest = {
	readonly requestId: string;
	readonly team: string;
	readonly key: string;
	readonly target: string;
	readonly deadlineMs: number;
};
