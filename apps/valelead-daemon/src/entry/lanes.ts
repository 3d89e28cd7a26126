import {create} from '@bufbuild/protobuf';
import type {TimerService} from '@valelead/common';
import {
	type Channel, type ChannelPool, type LaneRequest, type LaneUpdate, Agent, LaneRequestSchema,
} from '@valelead/protocol';
import type {ClientDuplexStream} from '@grpc/grpc-js';

type LaneEvents = {
	readonly onCredits: (vm: string, creditIds: readonly string[], validForMs: number) => void;
	readonly onClosed: (vm: string) => void;
};

type LaneStream = ClientDuplexStream<LaneRequest, LaneUpdate>;

/** A lane that nobody wants is closed after this time, in milliseconds. */
const IDLE_LANE_MS = 15_000;

const REFRESH_MS = 500;

type OpenLane = {
	readonly address: string;
	readonly stream: LaneStream;
	wanted: number;
	usedAt: number;
};

/** Streams to the agents that this entry has work for, on which they grant credits. */
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
		timers.repeat(REFRESH_MS, now => {
			this.#refresh(now);
		});
	}

	/** Notes where an agent is reached. */
	setAddress(vm: string, address: string): void {
		this.#addresses.set(vm, address);
		const lane = this.#open.get(vm);
		if (lane && lane.address !== address) {
			this.#close(vm, lane);
		}
	}

	getChannel(vm: string): Channel | undefined {
		const address = this.#addresses.get(vm);
		return address === undefined || address === '' ? undefined : this.#pool.get(address);
	}

	/** Tells an agent how many requests wait for it. */
	want(vm: string, wanted: number, now: number): void {
		const lane = this.#open.get(vm) ?? (wanted > 0 ? this.#connect(vm, now) : undefined);
		if (!lane) {
			return;
		}

		lane.wanted = wanted;
		lane.usedAt = wanted > 0 ? now : lane.usedAt;
		lane.stream.write(create(LaneRequestSchema, {entry: this.#entry, wanted}));
	}

	#connect(vm: string, now: number): OpenLane | undefined {
		const address = this.#addresses.get(vm);
		if (address === undefined || address === '') {
			return undefined;
		}

		const stream = this.#pool.get(address).bidiStream(Agent.method.lane);
		const lane: OpenLane = {
			address, stream, wanted: 0, usedAt: now,
		};
		this.#open.set(vm, lane);
		stream.on('data', (update: LaneUpdate) => {
			this.#events.onCredits(vm, update.credits.map(credit => credit.id), update.credits[0]?.validForMs ?? 0);
		});
		stream.on('error', () => {
			this.#close(vm, lane);
		});
		stream.on('end', () => {
			this.#close(vm, lane);
		});
		return lane;
	}

	#close(vm: string, lane: OpenLane): void {
		if (this.#open.get(vm) !== lane) {
			return;
		}

		this.#open.delete(vm);
		lane.stream.cancel();
		this.#events.onClosed(vm);
	}

	#refresh(now: number): void {
		for (const [vm, lane] of this.#open) {
			if (lane.wanted === 0 && now - lane.usedAt > IDLE_LANE_MS) {
				this.#close(vm, lane);
			}
		}
	}
}
