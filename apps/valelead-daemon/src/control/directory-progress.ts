/** A version of the upstream directory that a follower has or should have. */
export type DirectoryProgress = {
	/** Identifies the leader and term that the version belongs to. Versions of different epochs are not comparable. */
	readonly epoch: string;
	readonly directoryVersion: number;
};
