import type {DescMessage, DescMethodUnary, MessageShape} from '@bufbuild/protobuf';
import {
	type Clock, RESULT_CODE, SYSTEM_CLOCK, type TimerService, ValeleadError,
} from '@valelead/common';
import type {ChannelPool} from './channel-pool.js';

/** What every reply of a voter says. */
type ControlReply = {
	readonly code: number;
	readonly leaderAddress: string;
};

const RETRY_MS = 50;

/** A voter that does not answer for longer is passed over; it may be frozen. */
const ATTEMPT_MS = 700;

/** Calls the leader, wherever it is: follows the address in a reply, and tries the voters in turn. */
export class LeaderCalls {
	readonly #pool: ChannelPool;
	/** What the settings name. */
	readonly #configured: readonly string[];
	#addresses: readonly string[];
	readonly #timers: TimerService;
	readonly #clock: Clock;
	#next = 0;
	#leader: string | undefined;

	constructor(pool: ChannelPool, addresses: readonly string[], timers: TimerService, clock: Clock = SYSTEM_CLOCK) {
		this.#pool = pool;
		this.#configured = addresses;
		this.#addresses = addresses;
		this.#timers = timers;
		this.#clock = clock;
	}

	/** The address to try next. */
	get address(): string {
		return this.#leader ?? this.#addresses[this.#next % this.#addresses.length];
	}

	/** Whether the address to try next is the leader by somebody's word, and not the next one of the list. */
	get isNamed(): boolean {
		return this.#leader !== undefined;
	}

	/** How many addresses are tried in turn. */
	get count(): number {
		return this.#addresses.length;
	}

	/** Learns where the voters are now. Those of the settings are tried after them: all that were learnt may have moved when this process hears again. */
	learn(addresses: readonly string[]): void {
		if (addresses.length > 0) {
			this.#addresses = [...new Set([...addresses, ...this.#configured])];
		}
	}

	/** Takes the word of a voter on who leads; an empty address means that it does not know. */
	redirect(address: string): void {
		this.#leader = address === '' ? undefined : address;
		if (address === '') {
			this.#next += 1;
		}
	}

	/** Repeats the call until a leader answers it or the time is over. The call must be idempotent. */
	async call<Input extends DescMessage, Output extends DescMessage>(
		method: DescMethodUnary<Input,
			Output>,
		request: MessageShape<Input>,
		timeoutMs: number,
	): Promise<MessageShape<Output> & ControlReply> {
		const endsAt = this.#clock.now() + timeoutMs;
		while (this.#clock.now() < endsAt) {
			const reply = await this.#try(method, request, endsAt - this.#clock.now());
			if (reply && reply.code !== RESULT_CODE.NotLeader) {
				return reply;
			}

			this.redirect(reply?.leaderAddress ?? '');
			await this.#timers.wait(RETRY_MS);
		}

		throw new ValeleadError('No leader answered in time', {code: RESULT_CODE.NoQuorum});
	}

	async #try<Input extends DescMessage, Output extends DescMessage>(
		method: DescMethodUnary<Input,
			Output>,
		request: MessageShape<Input>,
		timeoutMs: number,
	): Promise<(MessageShape<Output> & ControlReply) | undefined> {
		const attemptMs = Math.min(timeoutMs, ATTEMPT_MS);
		try {
			// The library measures its deadline by the time of day, which may step; the wait beside it does not.
			const answer = this.#pool.get(this.address).unary(method, request, attemptMs) as Promise<MessageShape<Output> & ControlReply>;
			return await Promise.race([answer, this.#waitInVain(attemptMs)]);
		} catch {
			return undefined;
		}
	}

	async #waitInVain(attemptMs: number): Promise<undefined> {
		await this.#timers.wait(attemptMs);
		return undefined;
	}
}
