import {
	type ServerCredentials, type ServiceDefinition, type UntypedServiceImplementation, Server,
} from '@grpc/grpc-js';

const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;

type Service = {
	readonly definition: ServiceDefinition;
	readonly implementation: UntypedServiceImplementation;
};

/** Serves gRPC calls from other processes of the installation. */
export class GrpcServer {
	readonly #server = new Server({
		'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
		'grpc.max_send_message_length': MAX_MESSAGE_BYTES,
	});

	constructor(services: readonly Service[]) {
		for (const {definition, implementation} of services) {
			this.#server.addService(definition, implementation);
		}
	}

	async listen(address: string, credentials: ServerCredentials): Promise<void> {
		return new Promise((resolve, reject) => {
			this.#server.bindAsync(address, credentials, error => {
				if (error) {
					reject(error);
				} else {
					resolve();
				}
			});
		});
	}

	stop(): void {
		this.#server.forceShutdown();
	}
}
