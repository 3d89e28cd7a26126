import {type Agent, request} from 'node:http';
import type {HttpAnswer} from './http-answer.js';

type HttpCall = {
	/** Another address of loopback than 127.0.0.1. */
	readonly host?: string;
	readonly port: number;
	readonly path: string;
	readonly method?: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string;
	/** Connections to use again; without it, the call has one of its own. */
	readonly agent?: Agent;
	/** Ends the call where it is; it resolves with the part of the answer that has come. */
	readonly signal?: AbortSignal;
	/** Called with each part of the answer. */
	readonly onData?: (text: string) => void;
};

/** One HTTP call to loopback; rejects if no answer begins. */
export const callHttp = async (call: HttpCall): Promise<HttpAnswer> => new Promise((resolve, reject) => {
	let isBegun = false;
	const outgoing = request({
		host: call.host ?? '127.0.0.1',
		port: call.port,
		path: call.path,
		method: call.method ?? 'GET',
		headers: call.headers ?? {},
		agent: call.agent ?? false,
		...(call.signal && {signal: call.signal}),
	}, message => {
		isBegun = true;
		let text = '';
		message.setEncoding('utf8');
		message.on('data', (chunk: string) => {
			text += chunk;
			call.onData?.(chunk);
		});
		message.on('error', () => undefined);
		message.on('close', () => {
			resolve({
				status: message.statusCode!, headers: message.headers, text, isComplete: message.complete,
			});
		});
	});
	outgoing.on('error', error => {
		// The part of an answer that has begun is the result of the call.
		if (!isBegun) {
			reject(error);
		}
	});
	outgoing.end(call.body);
});
