import type {StreamOrigin} from '@valelead/stream-origin';

/** Provides what is known of where streams began. */
export type OriginSource = {
	/**
	 * Finds where a stream began; resolves with undefined if nobody knows.
	 * @param requestId - The id of the attempt that resumes the stream, for the log.
	 */
	readonly findOrigin: (key: string, requestId: string) => Promise<StreamOrigin | undefined>;
	/**
	 * Finds the software version at which every stream of a route began, as of now; resolves with an empty string if there are several, an unknown one or
	 * other services than the given one, and with undefined if no leader replies.
	 * @param route - The key of the route.
	 */
	readonly findSoleVersion: (route: string, service: string) => Promise<string | undefined>;
};
