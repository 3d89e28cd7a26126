import {create} from '@bufbuild/protobuf';
import type {Clock} from '@valelead/common';
import type {ConsensusMessage, ConsensusTransport, MessageTarget} from '@valelead/consensus';
import {type ChannelPool, Consensus, ConsensusEnvelopeSchema} from '@valelead/protocol';
import {PeerStream} from './peer-stream.js';

/** Sends consensus messages over one gRPC stream per voter. Messages may be lost; the consensus algorithm sends them again. */
export class GrpcTransport implements ConsensusTransport {
	readonly #pool: ChannelPool;
	readonly #ownAddress: string;
	readonly #clock: Clock;
	readonly #streams = new Map<string, PeerStream>();

	constructor(pool: ChannelPool, ownAddress: string, clock: Clock) {
		this.#pool = pool;
		this.#ownAddress = ownAddress;
		this.#clock = clock;
	}

	send(from: string, to: MessageTarget, message: ConsensusMessage): void {
		const envelope = create(ConsensusEnvelopeSchema, {
			from, fromAddress: this.#ownAddress, to: to.id, message: {case: message.kind, value: message as never},
		});
		this.#getStream(to.address).send(envelope);
	}

	close(): void {
		for (const stream of this.#streams.values()) {
			stream.close();
		}

		this.#streams.clear();
	}

	#getStream(address: string): PeerStream {
		const known = this.#streams.get(address);
		if (known) {
			return known;
		}

		const stream = new PeerStream({
			clock: this.#clock,
			open: () => this.#pool.get(address).bidiStream(Consensus.method.deliver),
			reset: () => {
				this.#pool.reset(address);
			},
		});
		this.#streams.set(address, stream);
		return stream;
	}
}
