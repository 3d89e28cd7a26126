/** How a stand-in engine behaves. Times in milliseconds. */
export type EngineOptions = {
	readonly host: string;
	readonly port: number;
	/** The weight store's port; 0 loads from the disk alone. */
	readonly storePort: number;
	readonly memoryBytes: number;
	readonly capacity: number;
	readonly checksFence: boolean;
	readonly firstTokenMs: number;
	readonly tokenMs: number;
	readonly diskMsPerGib: number;
};
