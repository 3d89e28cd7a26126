import type {DescMessage, DescMethodUnary, MessageShape} from '@bufbuild/protobuf';
import {
	type Clock, RESULT_CODE, SYSTEM_CLOCK, type TimerService, ValeleadError,
} from '@valelead/common';
import type {ChannelPool} from './channel-pool.js';

/** The fields that every reply of a voter has. */
type VoterReply = {
	readonly code: number;
	readonly leaderAddress: string;
};

const RETRY_DELAY_MS = 50;

/** A voter that does not reply within this time is skipped, as its process may be suspended. */
const ATTEMPT_TIMEOUT_MS = 700;

/** Calls the current leader. Follows the leader address in a voter's reply, and tries the known voters in turn if none names a leader. */
export class LeaderClient {
	readonly #pool: ChannelPool;
	/** Addresses of voters in the settings. */
	readonly #configuredAddresses: readonly string[];
	#addresses: readonly string[];
	readonly #timers: TimerService;
	readonly #clock: Clock;
	#nextIndex = 0;
	#namedLeader: string | undefined;

	constructor(pool: ChannelPool, addresses: readonly string[], timers: TimerService, clock: Clock = SYSTEM_CLOCK) {
		this.#pool = pool;
		this.#configuredAddresses = addresses;
		this.#addresses = addresses;
		this.#timers = timers;
		this.#clock = clock;
	}

	/** The address that the next call goes to. */
	get address(): string {
		return this.#namedLeader ?? this.#addresses[this.#nextIndex % this.#addresses.length];
	}

	/** True if the next call goes to an address that a voter named as the leader, false if it goes to the next voter of the list. */
	get isLeaderKnown(): boolean {
		return this.#namedLeader !== undefined;
	}

	/** The number of voter addresses that are tried in turn. */
	get voterAddressCount(): number {
		return this.#addresses.length;
	}

	/**
	 * Updates the addresses of the voters. The addresses in the settings are tried after them: while this process has no contact with the
	 * installation, all other known voters may move to other addresses.
	 */
	updateVoterAddresses(addresses: readonly string[]): void {
		if (addresses.length > 0) {
			this.#addresses = [...new Set([...addresses, ...this.#configuredAddresses])];
		}
	}

	/** Sets the leader that a voter named. An empty address means that the voter knows no leader; the next call then goes to the next voter. */
	redirect(address: string): void {
		this.#namedLeader = address === '' ? undefined : address;
		if (address === '') {
			this.#nextIndex += 1;
		}
	}

	/** Repeats a call until a leader replies. Throws NoQuorum if none replies within the timeout, in milliseconds. The call must be idempotent. */
	async call<Input extends DescMessage, Output extends DescMessage>(
		method: DescMethodUnary<Input,
			Output>,
		request: MessageShape<Input>,
		timeoutMs: number,
	): Promise<MessageShape<Output> & VoterReply> {
		const endsAt = this.#clock.now() + timeoutMs;
		while (this.#clock.now() < endsAt) {
			const reply = await this.#attemptCall(method, request, endsAt - this.#clock.now());
			if (reply && reply.code !== RESULT_CODE.NotLeader) {
				return reply;
			}

			this.redirect(reply?.leaderAddress ?? '');
			await this.#timers.wait(RETRY_DELAY_MS);
		}

		throw new ValeleadError('No leader answered in time', {code: RESULT_CODE.NoQuorum});
	}

	async #attemptCall<Input extends DescMessage, Output extends DescMessage>(
		method: DescMethodUnary<Input,
			Output>,
		request: MessageShape<Input>,
		timeoutMs: number,
	): Promise<(MessageShape<Output> & VoterReply) | undefined> {
		const attemptMs = Math.min(timeoutMs, ATTEMPT_TIMEOUT_MS);
		try {
			// The gRPC library measures its deadline by the wall clock, which may be set forward or back; this timer uses the monotonic clock.
			const reply = this.#pool.get(this.address).unary(method, request, attemptMs) as Promise<MessageShape<Output> & VoterReply>;
			return await Promise.race([reply, this.#waitForTimeout(attemptMs)]);
		} catch {
			return undefined;
		}
	}

	async #waitForTimeout(attemptMs: number): Promise<undefined> {
		await this.#timers.wait(attemptMs);
		return undefined;
	}
}
