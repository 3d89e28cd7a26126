import {createHash} from 'node:crypto';
import {create} from '@bufbuild/protobuf';
import {OUTCOME, RESULT_CODE, ValeleadError} from '@valelead/common';
import {
	type ClaimReply, type LeaderClient, ClaimRequestSchema, Control,
} from '@valelead/protocol';
import type {RoutedRequest} from './routed-request.js';
import type {CompleteResponse} from './complete-response.js';

/** The largest response body that is stored for repeated requests. For a larger response only the outcome is stored. */
const MAX_STORED_BODY_BYTES = 65_536;

const SETTLE_TIMEOUT_MS = 30_000;

/** Claims requests that must not run twice, and records their outcomes, in the replicated state of the quorum. */
export class ClaimClient {
	readonly #leader: LeaderClient;

	constructor(leader: LeaderClient) {
		this.#leader = leader;
	}

	/** Claims the right to run a request. Rejects if the quorum does not commit the claim within `timeoutMs`. */
	async claim(request: RoutedRequest, owner: string, lifetimeMs: number, timeoutMs: number): Promise<ClaimReply> {
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

	/** Records that the request ran, and stores its response for repeated requests with the same idempotency key. */
	async settle(request: RoutedRequest, owner: string, response: CompleteResponse): Promise<void> {
		const hasBody = response.body.length <= MAX_STORED_BODY_BYTES;
		await this.#settle(request, owner, {
			outcome: OUTCOME.Ran,
			status: response.status,
			contentType: response.contentType,
			body: hasBody ? response.body : new Uint8Array(),
			hasBody,
		});
	}

	/** Releases the claim of a request that did not run. */
	async release(request: RoutedRequest, owner: string): Promise<void> {
		await this.#settle(request, owner, {
			outcome: OUTCOME.NotRun, status: 0, contentType: '', body: new Uint8Array(), hasBody: false,
		});
	}

	/** Records that it is unknown whether the request ran. */
	async settleUnknown(request: RoutedRequest, owner: string): Promise<void> {
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
