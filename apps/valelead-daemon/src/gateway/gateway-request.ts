import type {Buffer} from 'node:buffer';
import type {ResponseFramingValue} from '@valelead/answer';
import type {Route} from '@valelead/routing';
import type {StreamOrigin} from '@valelead/stream-origin';
import type {CallerRequest} from '../adapter/caller-request.js';
import type {ResponseWriter} from './response-writer.js';
import type {Caller} from './caller.js';

/** A caller's request at a gateway, with its progress. Times are monotonic milliseconds. */
export type GatewayRequest = {
	/** The gateway's own id of the request, as callers may reuse an id. */
	readonly id: string;
	readonly head: CallerRequest;
	readonly caller: Caller;
	readonly host: string;
	readonly route: Route;
	readonly service: string;
	/** The service, or the model or adapter of it, that the upstream must offer. */
	readonly target: string;
	readonly method: string;
	readonly url: string;
	/** The caller's headers that are forwarded, as name, value, name, value … */
	readonly rawHeaders: readonly string[];
	readonly body: Buffer;
	readonly answer: ResponseWriter;
	readonly arrivedAt: number;
	/** The time by which the complete response is due. */
	readonly deadlineAt: number;
	/** The version of the routing that determined the service. */
	readonly routingVersion: number;
	/** Identifies requests with the same sender and content; undefined until it is first needed. */
	fingerprint: string | undefined;
	/** Fingerprints of the segments of its prompt that other prompts may share; undefined until they are first needed. */
	segments: readonly string[] | undefined;
	dispatchedAt: number | undefined;
	upstreamId: string;
	/** The software version of the upstream of the last attempt; empty if unknown or before the first attempt. */
	softwareVersion: string;
	/** The engine that was last chosen to load the model while the request waited, or an empty string. */
	awaitedUpstreamId: string;
	attempts: number;
	/** The attempts that failed, oldest first, each as upstream, result code and outcome. */
	failedAttempts: string[];
	/** Where the stream began, once its first event has been forwarded or if the caller resumes it. Only fitting upstreams may continue it. */
	origin: StreamOrigin | undefined;
	/** True once an event of the stream has been forwarded; comments are none. */
	hasForwardedEvents: boolean;
	/** The id of the last event that was completely forwarded, if the stream can be resumed. */
	lastEventId: string | undefined;
	firstChunkAt: number | undefined;
	lastChunkAt: number;
	longestPauseMs: number;
	/** How the end of the most recent upstream response is determined (e.g. by its length), and the bytes received of its body. */
	answerFraming: ResponseFramingValue | undefined;
	answerBytes: number;
};
