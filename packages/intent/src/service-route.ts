/** A plain service that requests are routed to. */
export type ServiceRoute = {
	readonly name: string;
	readonly class: string;
	readonly teams: readonly string[];
	/** Whether calls may be run more than once. */
	readonly isRepeatable: boolean;
	readonly isStopped: boolean;
};
