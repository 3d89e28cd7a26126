import type {RoutedRequest} from './routed-request.js';
import type {AnswerSink} from './answer-sink.js';

/** One request in the hands of an entry. Times are monotonic milliseconds. */
export type Exchange = {
	readonly requestId: string;
	readonly request: RoutedRequest;
	readonly sink: AnswerSink;
	readonly arrivedAt: number;
	/** Whether no replica was ready when it arrived. */
	readonly wasCold: boolean;
	dispatchedAt: number | undefined;
	firstPartAt: number | undefined;
	lastPartAt: number;
};
