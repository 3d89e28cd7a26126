import type {Clock} from '@valelead/common';
import type {StreamOrigin, VersionHistory} from '@valelead/stream-origin';

/** Provides what is known of where streams began. */
export type OriginSource = {
	readonly clock: Clock;
	/**
	 * Finds where a stream began; resolves with undefined if nobody knows.
	 * @param requestId - The id of the attempt that resumes the stream, for the log.
	 */
	readonly findOrigin: (key: string, requestId: string) => Promise<StreamOrigin | undefined>;
	/** Returns the software versions that upstreams have had lately. */
	readonly getVersions: () => VersionHistory;
};
