/** How a stand-in weight store behaves. */
export type StoreOptions = {
	readonly host: string;
	readonly port: number;
	readonly msPerGib: number;
	/** Loads that run at full speed at once. */
	readonly concurrent: number;
};
