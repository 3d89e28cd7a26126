import {ValeleadError} from '@valelead/common';
import type {Quota} from '@valelead/quota';
import type {Routing} from '@valelead/routing';
import type {Logger} from 'pino';
import type {StoredRouting} from './stored-routing.js';

type RoutingParts = {
	readonly getRouting: () => StoredRouting | undefined;
	readonly decodeRouting: (document: string) => Routing;
	readonly logger: Logger;
};

/** The parts of a routing configuration that a voter uses. */
type RoutingSummary = {
	/** Names of all services. */
	readonly services: ReadonlySet<string>;
	/** Names of the services whose upstreams are engines that accept load and unload orders. */
	readonly engineServices: ReadonlySet<string>;
	/** Quotas by team. */
	readonly quotas: ReadonlyMap<string, Quota>;
	/** Undefined before the first routing. */
	readonly routing: Routing | undefined;
};

const EMPTY_SUMMARY: RoutingSummary = {
	services: new Set(), engineServices: new Set(), quotas: new Map(), routing: undefined,
};

const newSummary = (routing: Routing): RoutingSummary => ({
	services: new Set(routing.services.map(service => service.name)),
	engineServices: new Set(routing.services.filter(service => service.engine !== undefined).map(service => service.name)),
	quotas: new Map((routing.teams ?? []).flatMap(({name, quota}) => quota ? [[name, quota]] : [])),
	routing,
});

/** Reads services and quotas from the routing configuration that this voter holds, and decodes it again when its version changes. */
export class CommittedRouting {
	readonly #parts: RoutingParts;
	#version = 0;
	#summary: RoutingSummary | undefined;

	constructor(parts: RoutingParts) {
		this.#parts = parts;
	}

	/** Names of all services; undefined before the first routing. */
	get services(): ReadonlySet<string> | undefined {
		return this.#read()?.services;
	}

	get engineServices(): ReadonlySet<string> {
		return (this.#read() ?? EMPTY_SUMMARY).engineServices;
	}

	/** Quotas by team. Returns the same object until the routing changes. */
	get quotas(): ReadonlyMap<string, Quota> {
		return (this.#read() ?? EMPTY_SUMMARY).quotas;
	}

	/** The whole configuration; undefined before the first one. */
	get routing(): Routing | undefined {
		return this.#read()?.routing;
	}

	#read(): RoutingSummary | undefined {
		const routing = this.#parts.getRouting();
		if (routing && routing.version !== this.#version) {
			this.#version = routing.version;
			this.#summary = this.#decode(routing);
		}

		return this.#summary;
	}

	#decode({version, document}: StoredRouting): RoutingSummary | undefined {
		try {
			return newSummary(this.#parts.decodeRouting(document));
		} catch (error) {
			const code = error instanceof ValeleadError ? error.code : undefined;
			this.#parts.logger.error({
				event: 'routing-unreadable', version, code, reason: (error as Error).message,
			}, 'cannot decode the committed routing; keeping the previous one');
			return this.#summary;
		}
	}
}
