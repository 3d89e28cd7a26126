import {createHash} from 'node:crypto';
import {create} from '@bufbuild/protobuf';
import {OUTCOME, RESULT_CODE, ValeleadError} from '@valelead/common';
import {
	type ClaimReply, type LeaderCalls, ClaimRequestSchema, Control,
} from '@valelead/protocol';
import type {RoutedRequest} from './routed-request.js';
import type {WholeAnswer} from './whole-answer.js';

/** The largest answer that is kept for resends; of a larger one only the outcome is kept. */
const MAX_KEPT_BYTES = 65_536;

const SETTLE_TIMEOUT_MS = 30_000;

/** Claims requests that must not run twice, and settles how they ended, in the quorum. */
export class ClaimClient {
	readonly #leader: LeaderCalls;

	constructor(leader: LeaderCalls) {
		this.#leader = leader;
	}

	/** Asks for the right to run a request. Rejects if the quorum cannot be reached in time. */
	async start(request: RoutedRequest, owner: string, lifetimeMs: number, timeoutMs: number): Promise<ClaimReply> {
		const requestHash = createHash('sha256')
			.update(`${request.method} ${request.service} ${request.path}\n`)
			.update(request.body)
			.digest('hex');
		const reply = await this.#leader.call(Control.method.claim, create(ClaimRequestSchema, {
			team: request.team,
			key: request.idempotencyKey,
			owner,
			step: {case: 'start', value: {$typeName: 'valelead.v1.ClaimStart', requestHash, lifetimeMs}},
		}), timeoutMs);
		if (reply.code !== RESULT_CODE.Ok) {
			throw new ValeleadError('The claim was not committed', {code: RESULT_CODE.NoQuorum, outcome: OUTCOME.NotRun});
		}

		return reply;
	}

	/** Keeps an answer for resends. */
	async settle(request: RoutedRequest, owner: string, answer: WholeAnswer): Promise<void> {
		const hasBody = answer.body.length <= MAX_KEPT_BYTES;
		await this.#settle(request, owner, {
			outcome: OUTCOME.Ran,
			status: answer.status,
			contentType: answer.contentType,
			body: hasBody ? answer.body : new Uint8Array(),
			hasBody,
		});
	}

	/** Gives the claim back, as the request did not run. */
	async release(request: RoutedRequest, owner: string): Promise<void> {
		await this.#settle(request, owner, {
			outcome: OUTCOME.NotRun, status: 0, contentType: '', body: new Uint8Array(), hasBody: false,
		});
	}

	/** Notes that it is not known whether the request ran. */
	async doubt(request: RoutedRequest, owner: string): Promise<void> {
		await this.#settle(request, owner, {
			outcome: OUTCOME.Unknown, status: 0, contentType: '', body: new Uint8Array(), hasBody: false,
		});
	}

	async #settle(request: RoutedRequest, owner: string, settlement: {outcome: string; status: number; contentType: string; body: Uint8Array; hasBody: boolean}): Promise<void> {
		await this.#leader.call(Control.method.claim, create(ClaimRequestSchema, {
			team: request.team,
			key: request.idempotencyKey,
			owner,
			step: {case: 'settlement', value: {$typeName: 'valelead.v1.ClaimSettlement', ...settlement}},
		}), SETTLE_TIMEOUT_MS);
	}
}
