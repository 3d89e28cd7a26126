import type {IncomingHttpHeaders} from 'node:http';
import type {AnswerHead} from './answer-head.js';
import type {CallerRequest} from './caller-request.js';
import type {UpstreamDispatch} from './upstream-dispatch.js';

/** How the platform's callers and upstreams write what they say beyond plain HTTP. */
export type CallerCodec = {
	/** Path at which the platform's balancer asks whether the process takes requests. */
	readonly readinessPath: string;
	readonly decodeRequest: (headers: IncomingHttpHeaders) => CallerRequest;
	/** The headers for the upstream: the caller's own, without those that only the system may set. Name, value, name, value … */
	readonly newUpstreamHeaders: (rawHeaders: readonly string[], dispatch: UpstreamDispatch) => string[];
	readonly decodeAnswer: (status: number, headers: IncomingHttpHeaders) => AnswerHead;
};
