/** A model that has requests at this gateway, waiting or in progress. */
export type ModelRequests = {
	readonly service: string;
	readonly model: string;
	/** Number of requests that wait for the model or one of its adapters. */
	waiting: number;
};
