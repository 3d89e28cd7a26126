/** A unit as the placement sees it, with what waits for it. */
export type PlacementUnit = {
	readonly key: string;
	readonly base: string;
	readonly memoryBytes: number;
	/** Replicas of its owner that may still be granted. */
	readonly freeReplicas: number;
	readonly minReplicas: number;
	readonly isStopped: boolean;
	readonly waiting: number;
	/** Sum of the class weights of the waiting requests. */
	readonly waitingWeight: number;
	readonly mostRemainingMs: number;
	/** Requests since the last decision. */
	readonly arrivals: number;
};
