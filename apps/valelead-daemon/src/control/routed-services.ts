import {ValeleadError} from '@valelead/common';
import type {Routing} from '@valelead/routing';
import type {Logger} from 'pino';
import type {ServiceNames} from './service-names.js';
import type {StoredRouting} from './stored-routing.js';

type ServicesParts = {
	readonly getRouting: () => StoredRouting | undefined;
	readonly decodeRouting: (document: string) => Routing;
	readonly logger: Logger;
};

/** The services of the routing in force; read anew when the routing changes. */
export class RoutedServices {
	readonly #parts: ServicesParts;
	#version = 0;
	#names: ServiceNames | undefined;

	constructor(parts: ServicesParts) {
		this.#parts = parts;
	}

	/** Undefined before there is a routing. */
	get names(): ServiceNames | undefined {
		const routing = this.#parts.getRouting();
		if (routing && routing.version !== this.#version) {
			this.#version = routing.version;
			this.#names = this.#read(routing);
		}

		return this.#names;
	}

	#read({version, document}: StoredRouting): ServiceNames | undefined {
		try {
			const {services} = this.#parts.decodeRouting(document);
			return {
				all: new Set(services.map(service => service.name)),
				engines: new Set(services.filter(service => service.engine !== undefined).map(service => service.name)),
			};
		} catch (error) {
			const code = error instanceof ValeleadError ? error.code : undefined;
			this.#parts.logger.error({
				event: 'routing-unreadable', version, code, reason: (error as Error).message,
			}, 'a committed routing cannot be read; the services of the one before stay known');
			return this.#names;
		}
	}
}
