import type {ClientDuplexStream} from '@grpc/grpc-js';
import type {Clock} from '@valelead/common';
import type {ConsensusEnvelope, DeliverReply} from '@valelead/protocol';

type Stream = ClientDuplexStream<ConsensusEnvelope, DeliverReply>;

type PeerStreamParts = {
	readonly clock: Clock;
	readonly open: () => Stream;
	/** Closes the underlying connection, so that the next stream uses a new one. */
	readonly reset: () => void;
};

/**
 * A stream whose messages get no reply for this long is reopened on a new connection, in milliseconds. After a network partition has healed,
 * a new connection works sooner than the old one, whose TCP retransmissions have backed off.
 */
const REPLY_TIMEOUT_MS = 1500;

/** A stream of consensus messages to one voter. The voter sends an empty reply to each message, which shows that the connection works. */
export class PeerStream {
	readonly #parts: PeerStreamParts;
	#stream: Stream | undefined;
	#unansweredSince = Number.POSITIVE_INFINITY;

	constructor(parts: PeerStreamParts) {
		this.#parts = parts;
	}

	send(envelope: ConsensusEnvelope): void {
		const now = this.#parts.clock.now();
		if (now - this.#unansweredSince > REPLY_TIMEOUT_MS) {
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
