/** A model that operators declared. */
export type Model = {
	readonly name: string;
	readonly memoryBytes: number;
	/** Replicas over all versions. */
	readonly maxReplicas: number;
	readonly minReplicas: number;
	readonly class: string;
	readonly teams: readonly string[];
	/** The version that is served where none is named. */
	readonly version: string;
	readonly versions: readonly string[];
	readonly isStopped: boolean;
};
