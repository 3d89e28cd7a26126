import type {Buffer} from 'node:buffer';
import type {CallerCodec} from '../adapter/caller-codec.js';
import type {ResponseHead} from './response-head.js';
import type {AttemptEnd} from './attempt-end.js';
import type {UpstreamAgent} from './upstream-agent.js';

/** What an attempt tells its gateway. After onEnd or onFailure nothing more comes. */
type AttemptEvents = {
	/** Any answer of the upstream; the requests a second that it takes from all gateways together, undefined where it names no limit. */
	readonly onLimit: (perSecond: number | undefined) => void;
	/** The head of the answer; returns whether the answer is wanted. */
	readonly onHead: (answer: ResponseHead) => boolean;
	readonly onData: (chunk: Buffer) => void;
	/** The whole answer has come. */
	readonly onEnd: () => void;
	readonly onFailure: (end: AttemptEnd) => void;
};

/** One sending of a request: what is sent where, and who is told. */
export type AttemptTerms = {
	readonly requestId: string;
	readonly upstreamId: string;
	/** IP number and port. */
	readonly address: string;
	readonly agent: UpstreamAgent;
	readonly codec: CallerCodec;
	readonly method: string;
	readonly url: string;
	/** Name, value, name, value … without the length. */
	readonly headers: readonly string[];
	readonly body: Buffer;
	readonly startedAt: number;
	readonly events: AttemptEvents;
};
