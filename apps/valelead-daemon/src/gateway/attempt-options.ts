import type {Buffer} from 'node:buffer';
import type {Address} from '@valelead/common';
import type {CallerCodec} from '../adapter/caller-codec.js';
import type {ResponseHead} from './response-head.js';
import type {AttemptFailure} from './attempt-failure.js';
import type {UpstreamAgent} from './upstream-agent.js';

/** Callbacks of an attempt. After `onEnd` or `onFailure` none is called any more. */
type AttemptEvents = {
	/** Called with the rate limit of each response, in requests per second over all gateways; undefined if the response states none. */
	readonly onLimit: (perSecond: number | undefined) => void;
	/** Called with the head of the response; returns true if the body is to be delivered. */
	readonly onHead: (answer: ResponseHead) => boolean;
	readonly onData: (chunk: Buffer) => void;
	/** Called once the response is complete. */
	readonly onEnd: () => void;
	readonly onFailure: (end: AttemptFailure) => void;
};

/** Options of one attempt to send a request to an upstream: the target, the content and the callbacks. */
export type AttemptOptions = {
	readonly requestId: string;
	readonly upstreamId: string;
	/** IP address and port of the upstream. */
	readonly address: Address;
	readonly agent: UpstreamAgent;
	readonly codec: CallerCodec;
	readonly method: string;
	readonly url: string;
	/** Headers as name, value, name, value …, without Content-Length. */
	readonly headers: readonly string[];
	readonly body: Buffer;
	readonly startedAt: number;
	readonly events: AttemptEvents;
};
