import type {IncomingHttpHeaders} from 'node:http';
import type {ResponseMetadata} from './response-metadata.js';
import type {CallerRequest} from './caller-request.js';
import type {UpstreamDispatch} from './upstream-dispatch.js';

/** Decodes and encodes the platform-specific headers of requests and responses between callers, gateways and upstreams. */
export type CallerCodec = {
	/** Path of the readiness probe that the platform's load balancer calls. */
	readonly readinessPath: string;
	readonly decodeRequest: (headers: IncomingHttpHeaders) => CallerRequest;
	/** Returns the headers for the upstream as a flat list of names and values: the caller's headers without those that only the system may set. */
	readonly newUpstreamHeaders: (rawHeaders: readonly string[], dispatch: UpstreamDispatch) => string[];
	readonly decodeAnswer: (status: number, headers: IncomingHttpHeaders) => ResponseMetadata;
};
