/** The route to a plain service, which is an upstream that serves no models. */
export type ServiceRoute = {
	readonly name: string;
	readonly class: string;
	readonly teams: readonly string[];
	/** True if a request to the service may be run more than once. */
	readonly isRepeatable: boolean;
	readonly isStopped: boolean;
};
