import type {ClientDuplexStream} from '@grpc/grpc-js';
import type {Clock} from '@valelead/common';
import type {ConsensusEnvelope, DeliverReply} from '@valelead/protocol';

type Stream = ClientDuplexStream<ConsensusEnvelope, DeliverReply>;

type PeerStreamParts = {
	readonly clock: Clock;
	readonly open: () => Stream;
	/** Drops the connection below, so that the next stream gets a new one. */
	readonly reset: () => void;
};

/**
 * A stream whose messages stay unanswered for this long is opened anew, in milliseconds. After a partition heals,
 * a new connection is usable sooner than the backed-off retransmissions of the old one.
 */
const SILENCE_MS = 1500;

/** Messages to one voter. The voter answers each with an empty reply, which shows that the connection is alive. */
export class PeerStream {
	readonly #parts: PeerStreamParts;
	#stream: Stream | undefined;
	#unansweredSince = Number.POSITIVE_INFINITY;

	constructor(parts: PeerStreamParts) {
		this.#parts = parts;
	}

	send(envelope: ConsensusEnvelope): void {
		const now = this.#parts.clock.now();
		if (now - this.#unansweredSince > SILENCE_MS) {
			this.close();
			this.#parts.reset();
		}

		this.#unansweredSince = Math.min(this.#unansweredSince, now);
		this.#stream ??= this.#open();
		this.#stream.write(envelope);
	}

	close(): void {
		const stream = this.#stream;
		this.#stream = undefined;
		this.#unansweredSince = Number.POSITIVE_INFINITY;
		stream?.cancel();
	}

	#open(): Stream {
		const stream = this.#parts.open();
		stream.on('data', () => {
			this.#unansweredSince = Number.POSITIVE_INFINITY;
		});
		const drop = (): void => {
			if (stream === this.#stream) {
				this.#stream = undefined;
				this.#unansweredSince = Number.POSITIVE_INFINITY;
			}
		};

		stream.on('error', drop);
		stream.on('end', drop);
		return stream;
	}
}
