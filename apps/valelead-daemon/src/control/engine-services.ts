import {ValeleadError} from '@valelead/common';
import type {Routing} from '@valelead/routing';
import type {Logger} from 'pino';
import type {StoredRouting} from './stored-routing.js';

type ServicesParts = {
	readonly getRouting: () => StoredRouting | undefined;
	readonly decodeRouting: (document: string) => Routing;
	readonly logger: Logger;
};

const NONE: ReadonlySet<string> = new Set();

/** The services of the routing in force whose upstreams take orders; read anew when the routing changes. */
export class EngineServices {
	readonly #parts: ServicesParts;
	#version = 0;
	#names = NONE;

	constructor(parts: ServicesParts) {
		this.#parts = parts;
	}

	get names(): ReadonlySet<string> {
		const routing = this.#parts.getRouting();
		if (routing && routing.version !== this.#version) {
			this.#version = routing.version;
			this.#names = this.#read(routing);
		}

		return this.#names;
	}

	#read({version, document}: StoredRouting): ReadonlySet<string> {
		try {
			return new Set(this.#parts.decodeRouting(document).services.filter(service => service.engine !== undefined).map(service => service.name));
		} catch (error) {
			const code = error instanceof ValeleadError ? error.code : undefined;
			this.#parts.logger.error({
				event: 'routing-unreadable', version, code, reason: (error as Error).message,
			}, 'a committed routing cannot be read; the services of the one before stay known');
			return this.#names;
		}
	}
}
