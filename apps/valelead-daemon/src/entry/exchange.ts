import type {RoutedRequest} from './routed-request.js';
import type {ResponseSink} from './response-sink.js';

/** A request that an entry is processing, and the sink for its response. Times are monotonic milliseconds. */
export type Exchange = {
	readonly requestId: string;
	readonly request: RoutedRequest;
	readonly sink: ResponseSink;
	readonly arrivedAt: number;
	/** True if no replica of the target was ready when the request arrived. */
	readonly wasCold: boolean;
	dispatchedAt: number | undefined;
	firstChunkAt: number | undefined;
	lastChunkAt: number;
};
