import type {TimerService} from '@valelead/common';
import {
	type ServerCredentials, type ServiceDefinition, type UntypedServiceImplementation, Server,
} from '@grpc/grpc-js';

/** The longest time in which a stopping server waits for its clients to receive what it has sent, in milliseconds. */
const MAX_FINISH_MS = 5000;

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

	/** Stops accepting calls. Resolves once those in progress have ended and their clients have received everything, after 5 s at the latest. */
	async finish(timers: TimerService): Promise<void> {
		await new Promise<void>(resolve => {
			const limit = timers.after(MAX_FINISH_MS, () => {
				resolve();
			});
			this.#server.tryShutdown(() => {
				limit.cancel();
				resolve();
			});
		});
	}

	/** Aborts all calls. What their clients have not received is lost. */
	stop(): void {
		this.#server.forceShutdown();
	}
}
