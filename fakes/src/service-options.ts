/** How a stand-in service behaves. */
export type ServiceOptions = {
	readonly host: string;
	readonly port: number;
	readonly service: string;
	readonly capacity: number;
	/** Time of one call in milliseconds. */
	readonly workMs: number;
};
