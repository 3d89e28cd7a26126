import {Buffer} from 'node:buffer';
import {parseAddress} from '@valelead/common';
import {newCallerHead} from './new-caller-head.js';
import {newSystemTimers} from './new-system-timers.js';
import {type CallerCodec, type UpstreamAgent, UpstreamAttempt} from 'valelead-daemon';

type AttemptResult = {
	/** Is `whole` for a complete response; otherwise the result code and the outcome of the failure. */
	readonly end: string;
	readonly body: string;
	/** The state of the connection after a failure; undefined if the response was complete. */
	readonly connection?: string;
};

type AttemptKind = {
	readonly requestId?: string;
	/** Names the attempt to the upstream. */
	readonly attempt?: string;
	readonly method?: string;
	readonly body?: Buffer;
	/** Whether the body of a response is read; false for an attempt that fails because of the head. */
	readonly isHeadTaken?: boolean;
};

/** A codec for tests: the header `id` holds the request id, `not-run` marks a refusal, and `other` marks the response of another upstream. */
const CODEC: CallerCodec = {
	readinessPath: '/ready',
	decodeRequest: () => newCallerHead('1'),
	newUpstreamHeaders: rawHeaders => [...rawHeaders],
	decodeAnswer: (_status, headers) => ({
		requestId: String(headers.id),
		isNotExecuted: headers['not-run'] !== undefined || headers.other !== undefined,
		isOtherUpstream: headers.other !== undefined,
		limitPerSecond: undefined,
	}),
};

/** Sends a request, GET unless another method is given, to an upstream at the loopback address, and calls `onOver` with the result. */
export const sendAttempt = (port: number, agent: UpstreamAgent, onOver: (result: AttemptResult) => void, kind: AttemptKind = {}): UpstreamAttempt => {
	const {requestId = '1', attempt = '', method = 'GET', body = Buffer.alloc(0), isHeadTaken = true} = kind;
	const chunks: Buffer[] = [];
	return new UpstreamAttempt({
		requestId,
		upstreamId: 'u',
		address: parseAddress(`127.0.0.1:${port}`)!,
		agent,
		codec: CODEC,
		method,
		url: '/',
		headers: ['host', 'a', 'id', requestId, 'attempt', attempt],
		body,
		startedAt: 0,
		events: {
			onLimit: () => undefined,
			onHead: () => isHeadTaken,
			onData(chunk) {
				chunks.push(chunk);
			},
			onEnd() {
				onOver({end: 'whole', body: Buffer.concat(chunks).toString()});
			},
			onFailure({code, outcome, connection}) {
				onOver({end: `${code} ${outcome}`, body: '', connection});
			},
		},
	}, newSystemTimers());
};
