import {Buffer} from 'node:buffer';
import {create} from '@bufbuild/protobuf';
import {
	assertNever, OUTCOME, RESULT_CODE, ValeleadError,
} from '@valelead/common';
import {
	type DispatchRequest, type LaneRequest, type LaneUpdate, type OutcomeRequest, OutcomeReplySchema,
} from '@valelead/protocol';
import type {
	handleBidiStreamingCall, sendUnaryData, ServerDuplexStream, ServerUnaryCall, UntypedServiceImplementation,
} from '@grpc/grpc-js';
import type {Upstream} from '@valelead/engine';
import {FrameWriter} from './frame-writer.js';
import {LaneWriter} from './lane-writer.js';
import type {Agent} from './agent.js';

type LaneStream = ServerDuplexStream<LaneRequest, LaneUpdate>;

/** The stream between one entry and this agent. */
type Lane = {
	readonly stream: LaneStream;
	readonly writer: LaneWriter;
};

/** An attempt that the upstream is processing. */
type RunningAttempt = {
	readonly lane: Lane;
	readonly controller: AbortController;
	readonly isRepeatable: boolean;
};

/** Serves the lanes of entries, on which this agent grants credits and receives dispatches, and queries for the outcome of lost attempts. */
class AgentService {
	readonly #agent: Agent;
	readonly #upstream: Upstream;
	readonly #lanes = new Map<string, Lane>();
	readonly #attempts = new Map<string, RunningAttempt>();

	constructor(agent: Agent, upstream: Upstream) {
		this.#agent = agent;
		this.#upstream = upstream;
	}

	acceptLane(stream: LaneStream): void {
		let entry = '';
		const lane: Lane = {stream, writer: new LaneWriter(stream)};
		stream.on('data', (request: LaneRequest) => {
			entry = request.entry;
			this.#lanes.set(entry, lane);
			this.#handleRequest(lane, request);
		});
		const end = (): void => {
			this.#closeLane(entry, lane);
		};

		stream.on('end', end);
		stream.on('error', end);
		stream.on('cancelled', end);
	}

	/** Ends all lanes once what was written to them has been sent. */
	closeLanes(): void {
		for (const {stream} of this.#lanes.values()) {
			stream.end();
		}
	}

	sendCredits(entry: string, ids: readonly string[]): void {
		this.#lanes.get(entry)?.writer.addCredits(ids, this.#agent.creditMs);
	}

	#handleRequest(lane: Lane, {entry, step}: LaneRequest): void {
		switch (step.case) {
			case 'want': {
				this.#agent.handleEvent({kind: 'lane', entry, wanted: step.value.wanted});
				break;
			}

			case 'dispatch': {
				void this.#dispatch(lane, step.value);
				break;
			}

			case 'cancel': {
				this.#attempts.get(step.value.attemptId)?.controller.abort();
				break;
			}

			case undefined: {
				break;
			}

			default: {
				assertNever(step);
			}
		}
	}

	/** Closes a lane and aborts its attempts. Attempts of requests that may not be repeated continue, so that the upstream completes them. */
	#closeLane(entry: string, lane: Lane): void {
		if (entry !== '' && this.#lanes.get(entry) === lane) {
			this.#lanes.delete(entry);
			this.#agent.handleEvent({kind: 'laneClosed', entry});
		}

		for (const attempt of this.#attempts.values()) {
			if (attempt.lane === lane && attempt.isRepeatable) {
				attempt.controller.abort();
			}
		}

		lane.stream.end();
	}

	async #dispatch(lane: Lane, request: DispatchRequest): Promise<void> {
		const {attemptId, creditId, unit, remainingMs} = request;
		const writer = new FrameWriter(lane.writer, attemptId);
		const decision = this.#agent.handleEvent({
			kind: 'dispatch', attemptId, creditId, unit, remainingMs,
		});
		if (decision?.kind !== 'accept') {
			await writer.refuse(decision?.code ?? RESULT_CODE.Internal, 'refused by the agent', decision?.outcome ?? OUTCOME.NotRun);
			return;
		}

		const controller = new AbortController();
		this.#attempts.set(attemptId, {lane, controller, isRepeatable: request.isRepeatable});
		try {
			await this.#run(request, writer, controller.signal);
		} catch (error) {
			const failure = error instanceof ValeleadError ? error : undefined;
			await writer.refuse(failure?.code ?? RESULT_CODE.UpstreamFailed, (error as Error).message, failure?.outcome ?? OUTCOME.Unknown);
		} finally {
			this.#attempts.delete(attemptId);
			this.#agent.handleEvent({kind: 'attemptEnded', attemptId});
		}
	}

	async #run(request: DispatchRequest, writer: FrameWriter, signal: AbortSignal): Promise<void> {
		const response = await this.#upstream.send({...request, body: Buffer.from(request.body)}, signal);
		await writer.start(response.status, response.contentType);
		for await (const chunk of response.body) {
			await writer.data(chunk);
		}

		await writer.end();
	}
}

type RunningService = {
	readonly implementation: UntypedServiceImplementation;
	/** Ends all lanes once what was written to them has been sent. */
	readonly closeLanes: () => void;
};

/** Starts the agent and creates the gRPC implementation of its service. */
export const newAgentService = (agent: Agent, upstream: Upstream, onReport: () => void): RunningService => {
	const service = new AgentService(agent, upstream);
	agent.start({
		onCredits(entry, creditIds) {
			service.sendCredits(entry, creditIds);
		},
		onReport,
	});
	const lane: handleBidiStreamingCall<LaneRequest, LaneUpdate> = stream => {
		service.acceptLane(stream);
	};

	return {
		implementation: {
			lane,
			outcome(call: ServerUnaryCall<OutcomeRequest, unknown>, send: sendUnaryData<unknown>) {
				const outcome = agent.withdraw(call.request.attemptId, call.request.creditId);
				send(null, create(OutcomeReplySchema, {outcome}));
			},
		},
		closeLanes() {
			service.closeLanes();
		},
	};
};
