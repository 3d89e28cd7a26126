import type {RoutedRequest} from './routed-request.js';
import type {AnswerSink} from './answer-sink.js';

/** A request that an entry is processing, and the sink for its response. Times are monotonic milliseconds. */
export type Exchange = {
	readonly requestId: string;
	readonly request: RoutedRequest;
	readonly sink: AnswerSink;
	readonly arrivedAt: number;
	/** True if no replica of the target was ready when the request arrived. */
	readonly wasCold: boolean;
	dispatchedAt: number | undefined;
	firstPartAt: number | undefined;
	lastPartAt: number;
};
