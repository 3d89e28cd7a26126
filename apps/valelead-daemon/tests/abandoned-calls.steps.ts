import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {Then, When} from '@cucumber/cucumber';
import type {ValeleadError} from '@valelead/common';
import {HttpUpstream} from '@valelead/engine';
import {SilentUpstream} from './silent-upstream.js';
import {newSystemTimers} from './new-system-timers.js';
import {type EngineCodec, type ConditionalOrder, EngineClient} from 'valelead-daemon';

type CallWorld = {
	ends: Promise<[end: string, connectionEnd: string]>;
};

const ORDER_TIMEOUT_MS = 100;

/** A codec that can only encode orders, as these tests send nothing else through it. */
const CODEC = {
	newOrderCall: () => ({
		method: 'POST', path: '/order', headers: {}, body: '{}',
	}),
} as unknown as EngineCodec;

const newAgentUpstream = (port: number): HttpUpstream => new HttpUpstream('127.0.0.1', port, ORDER_TIMEOUT_MS);

/** Functions by the name of the call: each starts the call, gives it up, and resolves with its result. */
const CALLS: Readonly<Record<string, (port: number, upstream: SilentUpstream) => Promise<string>>> = {
	async 'a sidecar\'s order'(port) {
		const client = new EngineClient(`127.0.0.1:${port}`, CODEC, newSystemTimers());
		const {result, reason} = await client.order({} as ConditionalOrder);
		client.close();
		return `${result} ${reason}`;
	},
	async 'an agent\'s order'(port) {
		return newAgentUpstream(port).load({unit: 'm', memoryBytes: 1, fence: 1});
	},
	async 'a request of an agent'(port, upstream) {
		const caller = new AbortController();
		const answer = newAgentUpstream(port).send({
			requestId: '1', attemptId: '1.1', team: 't', priority: 0, method: 'POST', path: '/', contentType: '', body: Buffer.from('x'), remainingMs: 1000,
		}, caller.signal);
		await upstream.request;
		caller.abort();
		try {
			const {status} = await answer;
			return `status ${status}`;
		} catch (error) {
			const {code, outcome} = error as ValeleadError;
			return `${code} ${outcome}`;
		}
	},
};

When('{} is given up before its upstream answers', async function (this: CallWorld, call: string) {
	const upstream = new SilentUpstream();
	const port = await upstream.listen();
	this.ends = Promise.all([CALLS[call](port, upstream), upstream.getConnectionEnd()]);
	await this.ends;
	upstream.close();
});

Then('it ends as {string}, and its upstream sees the connection reset', async function (this: CallWorld, end: string) {
	assert.deepEqual(await this.ends, [end, 'reset']);
});
