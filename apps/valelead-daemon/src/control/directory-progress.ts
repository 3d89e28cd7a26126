/** How far somebody knows the directory. */
export type DirectoryProgress = {
	/** The leadership that the directory belongs to. */
	readonly epoch: string;
	readonly directoryVersion: number;
};
