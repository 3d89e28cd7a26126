/** A model as operators declared it, with its limits and versions. */
export type Model = {
	readonly name: string;
	readonly memoryBytes: number;
	/** Maximum number of replicas of all versions together. */
	readonly maxReplicas: number;
	readonly minReplicas: number;
	readonly class: string;
	readonly teams: readonly string[];
	/** The version that serves requests that name no version. */
	readonly version: string;
	readonly versions: readonly string[];
	readonly isStopped: boolean;
};
