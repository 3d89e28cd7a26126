import type {StreamOrigin} from './stream-origin.js';

/** The origin of one stream, as it is stored. */
export type OriginRecord = StreamOrigin & {
	/** Identifies the stream, as `getOriginKey` returns it. */
	readonly key: string;
	/** When the record is no longer needed, in monotonic milliseconds of the process that stores it. */
	readonly expiresAt: number;
};
