import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {create} from '@bufbuild/protobuf';
import {
	OUTCOME, RESULT_CODE, type TimerService, ValeleadError,
} from '@valelead/common';
import {
	type DispatchRequest, type Frame, type LaneRequest, type LaneUpdate, type OutcomeRequest, FrameSchema, LaneUpdateSchema, OutcomeReplySchema,
} from '@valelead/protocol';
import type {
	handleBidiStreamingCall, handleServerStreamingCall, sendUnaryData, ServerDuplexStream, ServerUnaryCall, ServerWritableStream, UntypedServiceImplementation,
} from '@grpc/grpc-js';
import type {Upstream} from '@valelead/engine';
import type {Agent} from './agent.js';

type FramePart = Frame['part'];

type DispatchStream = ServerWritableStream<DispatchRequest, Frame>;

/** Writes the numbered frames of one attempt. */
class FrameWriter {
	readonly #stream: DispatchStream;
	#sequence = 0;
	#bytes = 0;

	constructor(stream: DispatchStream) {
		this.#stream = stream;
	}

	async write(part: FramePart): Promise<void> {
		const frame = create(FrameSchema, {attemptId: this.#stream.request.attemptId, sequence: this.#sequence, part});
		this.#sequence += 1;
		this.#bytes += part.case === 'data' ? part.value.length : 0;
		if (!this.#stream.write(frame)) {
			await Promise.race([once(this.#stream, 'drain'), once(this.#stream, 'cancelled')]);
		}
	}

	async end(): Promise<void> {
		await this.write({case: 'end', value: {$typeName: 'valelead.v1.AnswerEnd', frames: this.#sequence, bytes: this.#bytes}});
		this.#stream.end();
	}

	async refuse(code: number, message: string, outcome: string): Promise<void> {
		await this.write({
			case: 'refusal',
			value: {
				$typeName: 'valelead.v1.AnswerRefusal', code, message, outcome, retryAfterMs: 0,
			},
		});
		this.#stream.end();
	}
}

/** Serves entries: lanes with credits, dispatches, and questions about lost answers. */
class AgentService {
	readonly #agent: Agent;
	readonly #upstream: Upstream;
	readonly #lanes = new Map<string, ServerDuplexStream<LaneRequest, LaneUpdate>>();

	constructor(agent: Agent, upstream: Upstream) {
		this.#agent = agent;
		this.#upstream = upstream;
	}

	acceptLane(stream: ServerDuplexStream<LaneRequest, LaneUpdate>): void {
		let entry = '';
		stream.on('data', (request: LaneRequest) => {
			entry = request.entry;
			this.#lanes.set(entry, stream);
			this.#agent.take({kind: 'lane', entry, wanted: request.wanted});
		});
		const end = (): void => {
			if (entry !== '' && this.#lanes.get(entry) === stream) {
				this.#lanes.delete(entry);
				this.#agent.take({kind: 'laneClosed', entry});
			}

			stream.end();
		};

		stream.on('end', end);
		stream.on('error', end);
		stream.on('cancelled', end);
	}

	sendCredits(entry: string, creditIds: readonly string[]): void {
		const credits = creditIds.map(id => ({id, validForMs: this.#agent.creditMs}));
		this.#lanes.get(entry)?.write(create(LaneUpdateSchema, {credits}));
	}

	async dispatch(stream: DispatchStream): Promise<void> {
		const {attemptId, creditId, unit, remainingMs} = stream.request;
		const writer = new FrameWriter(stream);
		const decision = this.#agent.take({
			kind: 'dispatch', attemptId, creditId, unit, remainingMs,
		});
		if (decision?.kind !== 'accept') {
			await writer.refuse(decision?.code ?? RESULT_CODE.Internal, 'refused by the agent', decision?.outcome ?? OUTCOME.NotRun);
			return;
		}

		try {
			await this.#run(stream, writer);
		} catch (error) {
			const failure = error instanceof ValeleadError ? error : undefined;
			await writer.refuse(failure?.code ?? RESULT_CODE.UpstreamFailed, (error as Error).message, failure?.outcome ?? OUTCOME.Unknown);
		} finally {
			this.#agent.take({kind: 'attemptEnded', attemptId});
		}
	}

	async #run(stream: DispatchStream, writer: FrameWriter): Promise<void> {
		const {request} = stream;
		const controller = new AbortController();
		stream.on('cancelled', () => {
			controller.abort();
		});
		const answer = await this.#upstream.send({...request, body: Buffer.from(request.body)}, controller.signal);
		await writer.write({case: 'start', value: {$typeName: 'valelead.v1.AnswerStart', status: answer.status, contentType: answer.contentType}});
		for await (const chunk of answer.body) {
			await writer.write({case: 'data', value: chunk});
		}

		await writer.end();
	}
}

/** The agent service as grpc-js takes it. */
export const newAgentService = (agent: Agent, upstream: Upstream, timers: TimerService, onReport: () => void): UntypedServiceImplementation => {
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

	const dispatch: handleServerStreamingCall<DispatchRequest, Frame> = stream => {
		void service.dispatch(stream);
	};

	return {
		lane,
		dispatch,
		outcome(call: ServerUnaryCall<OutcomeRequest, unknown>, send: sendUnaryData<unknown>) {
			const outcome = agent.withdraw(call.request.attemptId, call.request.creditId);
			send(null, create(OutcomeReplySchema, {outcome}));
		},
	};
};
