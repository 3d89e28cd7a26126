import type {Buffer} from 'node:buffer';
import type {AnswerFramingValue} from '@valelead/answer';
import type {Route} from '@valelead/routing';
import type {CallerRequest} from '../adapter/caller-request.js';
import type {Answer} from './answer.js';
import type {Caller} from './caller.js';

/** One request of a caller at a gateway. Times are monotonic milliseconds. */
export type GatewayRequest = {
	/** The gateway's own id, as callers may send one id twice. */
	readonly id: string;
	readonly head: CallerRequest;
	readonly caller: Caller;
	readonly host: string;
	readonly route: Route;
	readonly service: string;
	/** What the upstream must offer: the service, or a model or adapter of it. */
	readonly target: string;
	readonly method: string;
	readonly url: string;
	/** The caller's headers that go on, as name, value, name, value … */
	readonly rawHeaders: readonly string[];
	readonly body: Buffer;
	readonly answer: Answer;
	readonly arrivedAt: number;
	/** When its final answer is due. */
	readonly deadlineAt: number;
	/** The version of the routing that decided where it goes. */
	readonly routingVersion: number;
	/** Names what is asked; worked out where it is needed. */
	fingerprint: string | undefined;
	dispatchedAt: number | undefined;
	upstreamId: string;
	/** The engine that was last chosen to load its model while it waited, or empty. */
	awaitedUpstreamId: string;
	attempts: number;
	/** The last event that was passed on whole, where the stream may be resumed. */
	lastEventId: string | undefined;
	firstChunkAt: number | undefined;
	lastChunkAt: number;
	longestPauseMs: number;
	/** How the end of the newest answer of an upstream is known, and the bytes of its body that have come. */
	answerFraming: AnswerFramingValue | undefined;
	answerBytes: number;
};
