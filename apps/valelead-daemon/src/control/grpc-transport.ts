import {create} from '@bufbuild/protobuf';
import type {ConsensusMessage, ConsensusTransport, MessageTarget} from '@valelead/consensus';
import {type ChannelPool, Consensus, ConsensusEnvelopeSchema} from '@valelead/protocol';

const DELIVER_TIMEOUT_MS = 2000;

/** Sends consensus messages over gRPC. A message that cannot be delivered is lost; the algorithm repeats it. */
export class GrpcTransport implements ConsensusTransport {
	readonly #pool: ChannelPool;
	readonly #ownAddress: string;

	constructor(pool: ChannelPool, ownAddress: string) {
		this.#pool = pool;
		this.#ownAddress = ownAddress;
	}

	send(from: string, to: MessageTarget, message: ConsensusMessage): void {
		const envelope = create(ConsensusEnvelopeSchema, {
			from, fromAddress: this.#ownAddress, to: to.id, message: {case: message.kind, value: message as never},
		});
		void this.#deliver(to.address, envelope);
	}

	async #deliver(address: string, envelope: ReturnType<typeof create<typeof ConsensusEnvelopeSchema>>): Promise<void> {
		try {
			await this.#pool.get(address).unary(Consensus.method.deliver, envelope, DELIVER_TIMEOUT_MS);
		} catch {
			// A lost message is an ordinary event of the algorithm.
		}
	}
}
