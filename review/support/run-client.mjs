import {Agent} from 'node:http';
import {setTimeout as wait} from 'node:timers/promises';
import {callHttp} from './call-http.mjs';

const LONGEST_WAIT_MS = 500;
const AFTER_FAILURE_MS = 100;
const MS_PER_SECOND = 1000;

/** How long a client waits for its answer after its deadline, in milliseconds. */
const SLACK_MS = 500;

/**
 * A client on a kept connection that sends one request after the other, each once and with an id of its own.
 * @param options - `name`, `address`, `path`, `method`, `deadlineMs` and `record`; `isOver` ends it, `onAnswer` and `onFailure` hear how requests end.
 */
export const runClient = async ({name, address, path, method, deadlineMs, record, isOver, onAnswer, onFailure}) => {
	const agent = new Agent({keepAlive: true, maxSockets: 1});
	for (let count = 1; !isOver(); count += 1) {
		const id = `${name}.${count}`;
		record.note('sent', {id});
		try {
			const answer = await callHttp({
				address,
				agent,
				method,
				path: `${path}${id}`,
				body: method === 'GET' ? '' : 'x',
				timeoutMs: deadlineMs + SLACK_MS,
				headers: {host: 'shop.example', 'x-request-id': id, 'x-deadline-ms': String(deadlineMs)},
			});
			record.note('answered', {id, status: answer.status, stamp: answer.headers['x-response-stamp'] ?? '-'});
			onAnswer(id, answer.status);
			await wait(Math.min(LONGEST_WAIT_MS, Number(answer.headers['retry-after'] ?? 0) * MS_PER_SECOND));
		} catch (error) {
			record.note('no answer', {id, reason: error.message.replaceAll(' ', '-'), kept: error.isReused});
			onFailure(id, error);
			await wait(AFTER_FAILURE_MS);
		}
	}

	agent.destroy();
};
