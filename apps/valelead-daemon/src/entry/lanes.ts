import {create} from '@bufbuild/protobuf';
import {OUTCOME, type OutcomeValue, type TimerService} from '@valelead/common';
import {
	type ChannelPool, type DispatchRequest, type Frame, type LaneRequest, type LaneUpdate, Agent, LaneRequestSchema, OutcomeRequestSchema,
} from '@valelead/protocol';
import type {ClientDuplexStream} from '@grpc/grpc-js';

type LaneEvents = {
	readonly onCredits: (vm: string, creditIds: readonly string[], validForMs: number) => void;
	readonly onFrame: (frame: Frame) => void;
	readonly onClosed: (vm: string) => void;
};

type LaneStream = ClientDuplexStream<LaneRequest, LaneUpdate>;

/** A lane without waiting requests and attempts is closed after this time, in milliseconds. */
const LANE_IDLE_TIMEOUT_MS = 15_000;

/** The interval between checks for idle lanes, in milliseconds. */
const IDLE_CHECK_INTERVAL_MS = 500;

const OUTCOME_TIMEOUT_MS = 500;

type OpenLane = {
	readonly address: string;
	readonly stream: LaneStream;
	wanted: number;
	usedAt: number;
	/** The ids of attempts that were sent on this lane and have not ended. */
	readonly attempts: Set<string>;
};

/** Manages the lanes of this entry: bidirectional streams to agents, which grant credits and send response frames on them. */
export class Lanes {
	readonly #entry: string;
	readonly #pool: ChannelPool;
	readonly #events: LaneEvents;
	readonly #addresses = new Map<string, string>();
	readonly #open = new Map<string, OpenLane>();

	constructor(entry: string, pool: ChannelPool, events: LaneEvents, timers: TimerService) {
		this.#entry = entry;
		this.#pool = pool;
		this.#events = events;
		timers.repeat(IDLE_CHECK_INTERVAL_MS, now => {
			this.#closeIdle(now);
		});
	}

	/** Sets the address of an agent. A lane to another address is closed. */
	setAddress(vm: string, address: string): void {
		this.#addresses.set(vm, address);
		const lane = this.#open.get(vm);
		if (lane && lane.address !== address) {
			this.#close(vm, lane);
		}
	}

	/** Sends a dispatch to an agent. Returns false if no lane to the agent is open. */
	dispatch(vm: string, request: DispatchRequest): boolean {
		const lane = this.#open.get(vm);
		if (!lane) {
			return false;
		}

		lane.attempts.add(request.attemptId);
		lane.stream.write(create(LaneRequestSchema, {entry: this.#entry, step: {case: 'dispatch', value: request}}));
		return true;
	}

	/** Asks the agent to cancel an attempt. */
	cancel(vm: string, attemptId: string): void {
		const lane = this.#open.get(vm);
		if (lane?.attempts.delete(attemptId)) {
			const cancel = {$typeName: 'valelead.v1.Cancel' as const, attemptId};
			lane.stream.write(create(LaneRequestSchema, {entry: this.#entry, step: {case: 'cancel', value: cancel}}));
		}
	}

	/** Removes an attempt that has ended from its lane. */
	end(vm: string, attemptId: string): void {
		this.#open.get(vm)?.attempts.delete(attemptId);
	}

	/** Asks an agent for the outcome of an attempt whose response was lost. Returns Unknown if the agent does not reply. */
	async askOutcome(vm: string, attemptId: string, creditId: string): Promise<OutcomeValue> {
		const address = this.#addresses.get(vm);
		try {
			const reply = await this.#pool.get(address!).unary(Agent.method.outcome, create(OutcomeRequestSchema, {attemptId, creditId}), OUTCOME_TIMEOUT_MS);
			return reply.outcome === OUTCOME.NotRun ? OUTCOME.NotRun : OUTCOME.Unknown;
		} catch {
			return OUTCOME.Unknown;
		}
	}

	/** Reports to an agent how many requests are waiting for it. Opens a lane if one is needed. */
	setWaitingCount(vm: string, wanted: number, now: number): void {
		const lane = this.#open.get(vm) ?? (wanted > 0 ? this.#connect(vm, now) : undefined);
		if (!lane) {
			return;
		}

		lane.wanted = wanted;
		lane.usedAt = wanted > 0 ? now : lane.usedAt;
		const want = {$typeName: 'valelead.v1.Want' as const, wanted};
		lane.stream.write(create(LaneRequestSchema, {entry: this.#entry, step: {case: 'want', value: want}}));
	}

	#connect(vm: string, now: number): OpenLane | undefined {
		const address = this.#addresses.get(vm);
		if (address === undefined || address === '') {
			return undefined;
		}

		const stream = this.#pool.get(address).bidiStream(Agent.method.lane);
		const lane: OpenLane = {
			address, stream, wanted: 0, usedAt: now, attempts: new Set(),
		};
		this.#open.set(vm, lane);
		stream.on('data', (update: LaneUpdate) => {
			this.#handleUpdate(vm, update);
		});
		stream.on('error', () => {
			this.#close(vm, lane);
		});
		stream.on('end', () => {
			this.#close(vm, lane);
		});
		return lane;
	}

	#handleUpdate(vm: string, {credits, frames}: LaneUpdate): void {
		if (credits) {
			this.#events.onCredits(vm, credits.ids, credits.validForMs);
		}

		for (const frame of frames) {
			this.#events.onFrame(frame);
		}
	}

	#close(vm: string, lane: OpenLane): void {
		if (this.#open.get(vm) !== lane) {
			return;
		}

		this.#open.delete(vm);
		lane.stream.cancel();
		this.#events.onClosed(vm);
	}

	#closeIdle(now: number): void {
		for (const [vm, lane] of this.#open) {
			if (lane.wanted === 0 && lane.attempts.size === 0 && now - lane.usedAt > LANE_IDLE_TIMEOUT_MS) {
				this.#close(vm, lane);
			}
		}
	}
}
