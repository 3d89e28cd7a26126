/** A load that was granted and has not ended. */
export type LoadRecord = {
	readonly unit: string;
	readonly vm: string;
	readonly startedAt: number;
	/** Whether the load reads from the weight store. */
	readonly isFromStore: boolean;
	/** Whether it was granted before any request waited. */
	readonly isPrewarm: boolean;
};
