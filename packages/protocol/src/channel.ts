import {Buffer} from 'node:buffer';
import {
	type DescMessage, type DescMethodBiDiStreaming, type DescMethodServerStreaming, type DescMethodUnary, type MessageShape, fromBinary, toBinary,
} from '@bufbuild/protobuf';
import {
	type ChannelCredentials, type ClientDuplexStream, type ClientReadableStream, type ServiceError, Client,
} from '@grpc/grpc-js';

type AnyMethod = {
	readonly name: string;
	readonly parent: {readonly typeName: string};
};

const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;
const MAX_RECONNECT_BACKOFF_MS = 1000;

/**
 * Interval of keepalive pings, and the time without a reply after which a connection counts as lost, in milliseconds. A machine that loses power
 * does not close its connections; once the loss is detected, other engines are chosen for the models that it was to load.
 */
const KEEPALIVE_INTERVAL_MS = 1500;
const KEEPALIVE_TIMEOUT_MS = 1000;

const getPath = (method: AnyMethod): string => `/${method.parent.typeName}/${method.name}`;

const newSerialize = <Desc extends DescMessage>(desc: Desc) => (value: MessageShape<Desc>): Buffer => Buffer.from(toBinary(desc, value));

const newDeserialize = <Desc extends DescMessage>(desc: Desc) => (bytes: Uint8Array): MessageShape<Desc> => fromBinary(desc, bytes);

/** A gRPC connection to another process of the installation, with typed calls. */
export class Channel {
	readonly #client: Client;

	constructor(address: string, credentials: ChannelCredentials) {
		this.#client = new Client(address, credentials, {
			'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
			'grpc.max_send_message_length': MAX_MESSAGE_BYTES,
			'grpc.initial_reconnect_backoff_ms': 100,
			'grpc.min_reconnect_backoff_ms': 100,
			'grpc.max_reconnect_backoff_ms': MAX_RECONNECT_BACKOFF_MS,
			'grpc.keepalive_time_ms': KEEPALIVE_INTERVAL_MS,
			'grpc.keepalive_timeout_ms': KEEPALIVE_TIMEOUT_MS,
			'grpc.enable_retries': 0,
			'grpc.use_local_subchannel_pool': 1,
		});
	}

	/** Sends a request and resolves with its reply. Rejects if the call fails or the timeout, in milliseconds, expires. */
	async unary<Input extends DescMessage, Output extends DescMessage>(method: DescMethodUnary<Input, Output>, request: MessageShape<Input>, timeoutMs: number): Promise<MessageShape<Output>> {
		return new Promise((resolve, reject) => {
			this.#client.makeUnaryRequest(
				getPath(method),
				newSerialize(method.input),
				newDeserialize(method.output),
				request,
				{deadline: Date.now() + timeoutMs},
				(error: ServiceError | null, reply?: MessageShape<Output>) => {
					if (error) {
						reject(error);
					} else {
						resolve(reply!);
					}
				},
			);
		});
	}

	serverStream<Input extends DescMessage, Output extends DescMessage>(method: DescMethodServerStreaming<Input, Output>, request: MessageShape<Input>): ClientReadableStream<MessageShape<Output>> {
		return this.#client.makeServerStreamRequest(getPath(method), newSerialize(method.input), newDeserialize(method.output), request);
	}

	bidiStream<Input extends DescMessage, Output extends DescMessage>(method: DescMethodBiDiStreaming<Input, Output>): ClientDuplexStream<MessageShape<Input>, MessageShape<Output>> {
		return this.#client.makeBidiStreamRequest(getPath(method), newSerialize(method.input), newDeserialize(method.output));
	}

	close(): void {
		this.#client.close();
	}
}
