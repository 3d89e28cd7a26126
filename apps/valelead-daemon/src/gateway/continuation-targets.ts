import type {AdmissionEndpoint} from '@valelead/admission';
import {type StreamOrigin, canContinue} from '@valelead/stream-origin';
import type {EngineView} from './engine-view.js';
import {getAdmissionTarget} from './get-admission-target.js';
import type {GatewayRequest} from './gateway-request.js';

type Continuation = {
	readonly origin: StreamOrigin;
	/** The unrestricted target. */
	readonly target: string;
	readonly requestIds: Set<string>;
};

type Views = ReadonlyMap<string, EngineView>;
type Endpoints = ReadonlyMap<string, readonly AdmissionEndpoint[]>;

/** The admission targets of requests that continue streams, with the endpoints that may continue them. */
export class ContinuationTargets {
	readonly #continuations = new Map<string, Continuation>();

	/** Adds the admission target of a request. Returns true if it is new, so that its endpoints must be added. */
	add({id, target, origin}: GatewayRequest): boolean {
		if (!origin) {
			return false;
		}

		const key = getAdmissionTarget({target, origin});
		const known = this.#continuations.get(key);
		const continuation = known ?? {origin, target, requestIds: new Set()};
		continuation.requestIds.add(id);
		this.#continuations.set(key, continuation);
		return known === undefined;
	}

	/** Removes a request that has ended, and its target with the last one. */
	remove(request: GatewayRequest): void {
		const key = getAdmissionTarget(request);
		const continuation = this.#continuations.get(key);
		continuation?.requestIds.delete(request.id);
		if (continuation?.requestIds.size === 0) {
			this.#continuations.delete(key);
		}
	}

	/** Returns the endpoints of all targets, including those of continuations. */
	addEndpoints(endpoints: Endpoints, views: Views): Endpoints {
		if (this.#continuations.size === 0) {
			return endpoints;
		}

		const restricted = [...this.#continuations].map(([key, {origin, target}]) => {
			const fitting = (endpoints.get(target) ?? []).filter(({vm}) => canContinue(origin, views.get(vm)!.upstream));
			return [key, fitting] as const;
		});
		return new Map([...endpoints, ...restricted]);
	}
}
