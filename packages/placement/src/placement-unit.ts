/** A unit (a model version, or an adapter on one) and the requests that wait for it, as input of the placement. */
export type PlacementUnit = {
	readonly key: string;
	/** Key of the model version that an adapter needs; empty if the unit is not an adapter. */
	readonly base: string;
	readonly memoryBytes: number;
	/** The number of replicas that the limit of the unit's owner still allows; negative if the limit is exceeded. */
	readonly freeReplicas: number;
	readonly minReplicas: number;
	readonly isStopped: boolean;
	readonly waiting: number;
	/** Sum of the class weights of the waiting requests. */
	readonly waitingWeight: number;
	/** The longest time that any waiting request has left until its deadline, in milliseconds. */
	readonly mostRemainingMs: number;
	/** The number of requests that arrived since the last round. */
	readonly arrivals: number;
};
