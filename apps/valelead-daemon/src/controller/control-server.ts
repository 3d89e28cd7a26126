import type {IncomingMessage, ServerResponse} from 'node:http';
import {
	RESULT_CODE, RESULT_DETAILS, type ResultCodeValue, SYSTEM_CLOCK, type TimerService, ValeleadError,
} from '@valelead/common';
import {type Upstream, UPSTREAM_STATE} from '@valelead/discovery';
import {type Routing, getRoutingFaults} from '@valelead/routing';
import type {Logger} from 'pino';
import type {ControlCall} from '../adapter/control-call.js';
import type {ControlCodec} from '../adapter/control-codec.js';
import type {FollowerSessions} from '../control/follower-sessions.js';
import type {RouteServices} from '../control/route-services.js';
import type {SoftwareVersions} from '../control/software-versions.js';
import type {UpstreamRegistry} from '../control/upstream-registry.js';
import type {Voter} from '../control/voter.js';
import type {WithdrawalRecorder} from '../control/withdrawal-recorder.js';
import {CallerBodies} from '../caller-bodies.js';
import {GracefulServer} from '../graceful-server.js';
import {withTimeout} from '../with-timeout.js';
import type {ControlResponse} from './control-response.js';
import {newRedirect} from './new-redirect.js';
import {newRefusal} from './new-refusal.js';
import type {RefusalLog} from './refusal-log.js';
import {writeResponse} from './write-response.js';

type ControlServerParts = {
	readonly codec: ControlCodec;
	readonly voter: Voter;
	readonly registry: UpstreamRegistry;
	readonly versions: Pick<SoftwareVersions, 'register'>;
	readonly routes: Pick<RouteServices, 'register'>;
	readonly withdrawals: Pick<WithdrawalRecorder, 'record'>;
	readonly followers: FollowerSessions;
	/** IP address and port of this server. */
	readonly address: string;
	readonly timers: TimerService;
	readonly logger: Logger;
	readonly refusals: RefusalLog;
	readonly onRefusal: (call: ControlCall, code: ResultCodeValue) => void;
};

/** The most bytes of a request body: a complete configuration must fit. */
const MAX_ROUTING_BYTES = 16 * 1024 * 1024;

/** The most bytes of any other request body. A heartbeat with 1,400 models takes a tenth of it. */
const MAX_BODY_BYTES = 1024 * 1024;

/** The most bytes of all request bodies together: two configurations at once. The process has 160 MB of heap on a small VM. */
const MAX_TOTAL_BYTES = 2 * MAX_ROUTING_BYTES;

/** Within this time a request must have arrived, in milliseconds: the largest configuration at 5 Mbit/s. */
const REQUEST_TIMEOUT_MS = 30_000;

/** Maximum time of a commit before the caller is told to retry, in milliseconds. Callers wait one second or more. */
const COMMIT_TIMEOUT_MS = 3000;

const OK: ControlResponse = {status: 200, body: '{}'};

/** The HTTP control interface for operators and upstreams. Only the leader serves the calls; other voters redirect to it. */
export class ControlServer {
	readonly #parts: ControlServerParts;
	readonly #server: GracefulServer;
	readonly #bodies: CallerBodies;

	constructor(parts: ControlServerParts) {
		this.#parts = parts;
		this.#bodies = new CallerBodies({maxTotalBytes: MAX_TOTAL_BYTES, clock: SYSTEM_CLOCK, timers: parts.timers});
		this.#server = new GracefulServer({
			address: parts.address,
			timers: parts.timers,
			onRequest: (message, response, turn) => {
				void this.#handle(message, response, turn);
			},
		});
	}

	async listen(): Promise<void> {
		await this.#server.listen();
	}

	/** Closes connections after their next responses. */
	closeAfterResponses(): void {
		this.#server.closeAfterResponses();
	}

	/**
	 * Stops accepting calls. Resolves once none is in progress.
	 * @param endsAt - When the stop ends at the latest, in monotonic milliseconds.
	 */
	async stop(endsAt: number): Promise<void> {
		await this.#server.stop(endsAt);
	}

	/** Resolves once all connections of a server that stops are closed. */
	async waitUntilClosed(): Promise<void> {
		await this.#server.waitUntilClosed();
	}

	stopNow(): void {
		this.#server.stopNow();
	}

	async #handle(message: IncomingMessage, response: ServerResponse, turn: Promise<boolean>): Promise<void> {
		const call = this.#parts.codec.decodeCall(message.method ?? '', message.url ?? '');
		try {
			const body = await this.#bodies.read(message, {
				maxBytes: call.kind === 'replaceRouting' ? MAX_ROUTING_BYTES : MAX_BODY_BYTES, endsAt: SYSTEM_CLOCK.now() + REQUEST_TIMEOUT_MS,
			});
			response.once('close', body.release);
			if (!await turn) {
				body.release();
				return;
			}

			const controlResponse = this.#getRedirect(call, message.url ?? '') ?? await this.#execute(call, body.bytes.toString('utf8'));
			writeResponse(response, controlResponse);
		} catch (error) {
			if (!message.complete) {
				// The rest of the body would be read for as long as its caller sends.
				response.setHeader('connection', 'close');
				message.resume();
			}

			writeResponse(response, this.#newFailure(call, error));
		}
	}

	/** Returns a redirect if another voter is the leader, a refusal if no leader is known, and undefined if this voter serves the call. */
	#getRedirect(call: ControlCall, url: string): ControlResponse | undefined {
		const {voter, address} = this.#parts;
		if (call.kind === 'unknown' || voter.node?.isCurrentLeader) {
			return undefined;
		}

		const leader = voter.leaderAddress;
		if (leader === '' || voter.node?.isLeader) {
			return newRefusal(RESULT_CODE.NotLeader, 'No voter is known to lead');
		}

		return newRedirect(leader, address, url);
	}

	async #execute(call: ControlCall, body: string): Promise<ControlResponse> {
		switch (call.kind) {
			case 'replaceRouting': {
				return this.#replaceRouting(body);
			}

			case 'readRouting': {
				return this.#readRouting();
			}

			case 'announce': {
				await this.#announce(this.#parts.codec.decodeAnnouncement(call.instanceId, body));
				return {status: 200, body: this.#parts.codec.newAnnouncementReply(this.#parts.address)};
			}

			case 'depart': {
				await this.#confirmWithdrawal(this.#parts.registry.depart(this.#parts.codec.decodeDeparture(call.instanceId, body)));
				return OK;
			}

			default: {
				return newRefusal(RESULT_CODE.UnknownPath, RESULT_DETAILS[RESULT_CODE.UnknownPath].meaning);
			}
		}
	}

	/** Adds an announcement to the directory once the upstream's version is registered. */
	async #announce(upstream: Upstream): Promise<void> {
		const {versions, registry, voter, timers} = this.#parts;
		const newError = (): ValeleadError => new ValeleadError('The quorum did not confirm the software version in time', {code: RESULT_CODE.CommandTimeout});
		await withTimeout(versions.register(upstream), timers, COMMIT_TIMEOUT_MS, newError);
		if (!voter.node?.isCurrentLeader) {
			throw new ValeleadError('This voter does not lead any more', {code: RESULT_CODE.NotLeader});
		}

		registry.announce(upstream);
		if (upstream.state !== UPSTREAM_STATE.Ready) {
			await this.#confirmWithdrawal(upstream);
		}
	}

	/**
	 * Resolves once the replicated log and the reachable followers have the withdrawal of a run. A repeated declaration waits too, because the wait of the
	 * first one may have failed.
	 */
	async #confirmWithdrawal(upstream: Upstream): Promise<void> {
		const {withdrawals, followers, timers} = this.#parts;
		const newError = (): ValeleadError => new ValeleadError('The quorum did not confirm the withdrawal in time', {code: RESULT_CODE.CommandTimeout});
		await Promise.all([
			withTimeout(withdrawals.record(upstream), timers, COMMIT_TIMEOUT_MS, newError),
			followers.waitForFollowers(),
		]);
	}

	async #replaceRouting(document: string): Promise<ControlResponse> {
		const {codec, voter, logger} = this.#parts;
		const routing = codec.decodeRouting(document);
		const faults = getRoutingFaults(routing);
		if (faults.length > 0) {
			throw new ValeleadError(faults.map(fault => `${fault.path}: ${fault.reason}`).join('; '), {code: RESULT_CODE.InvalidRouting});
		}

		const before = voter.machine.routing?.version ?? 0;
		if (routing.version > before) {
			await this.#commitRouting(routing, document);
		}

		const committedAt = SYSTEM_CLOCK.now();
		// Also waits if the version is already committed, because the attempt that committed it may have timed out before its wait ended.
		await voter.waitForVoters();
		await this.#parts.followers.waitForFollowers();
		logger.info({
			event: 'routing-accepted', version: routing.version, before, routes: routing.routes.length, code: RESULT_CODE.Ok, settledMs: Math.round(SYSTEM_CLOCK.now() - committedAt),
		}, routing.version > before ? 'routing committed' : 'routing ignored: it is not newer than the one in force');
		return {status: 200, body: JSON.stringify({version: routing.version})};
	}

	async #commitRouting(routing: Routing, document: string): Promise<void> {
		const {routes, voter, timers} = this.#parts;
		const commit = async (): Promise<void> => {
			await routes.register(routing);
			await voter.replaceRouting({version: routing.version, document});
		};

		await withTimeout(
			commit(),
			timers,
			COMMIT_TIMEOUT_MS,
			() => new ValeleadError('The quorum did not confirm the routing in time', {code: RESULT_CODE.CommandTimeout}),
		);
	}

	#readRouting(): ControlResponse {
		const {voter} = this.#parts;
		const {routing} = voter.machine;
		if (!voter.node?.canRead || !routing) {
			return newRefusal(RESULT_CODE.NotLeader, 'This voter cannot be sure of the newest configuration');
		}

		return {status: 200, body: routing.document};
	}

	#newFailure(call: ControlCall, error: unknown): ControlResponse {
		const code = error instanceof ValeleadError ? error.code : RESULT_CODE.Internal;
		this.#parts.refusals.note(call, code, (error as Error).message);
		this.#parts.onRefusal(call, code);
		return newRefusal(code, (error as Error).message);
	}
}
