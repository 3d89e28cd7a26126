import {type Route, ROUTE_KIND} from '@valelead/routing';
import {OUTCOME} from '@valelead/common';
import {newProcessTimers} from '../../../tests/support/new-process-timers.js';
import {newUpstream} from '../../../tests/support/new-upstream.js';
import {VirtualProcess} from '../../../tests/support/virtual-process.js';
import {VirtualTime} from '../../../tests/support/virtual-time.js';
import {newPlainRequest} from './new-plain-request.js';
import {newPlainTable} from './new-plain-table.js';
import {newSimulatedDispatcher} from './new-simulated-dispatcher.js';
import {
	type AttemptOptions, type CallerCodec, type RequestDispatcher, type SentAttempt, newAttemptFailure, newGatewayAdmission,
} from 'valelead-daemon';

type GatewayOptions = {
	/** Retries that the gateway may send in all. */
	readonly retries: number;
	/** Time in which upstreams answer, in milliseconds. */
	readonly serviceMs: number;
	/** The status of their answers. */
	readonly status: number;
	/** The kind of the route; one of safe requests if it is left out. */
	readonly kind?: Route['kind'];
};

/** How a request ended at its caller. */
type CallerEnd = {
	/** The status of the upstream's answer, or undefined for a refusal of the gateway. */
	readonly status: number | undefined;
	readonly code: number;
	readonly outcome: string;
	readonly at: number;
};

const SERVICE = 's';
const UPSTREAMS = ['a', 'b'];
const SLOTS = 64;

const ROUTE: Route = {
	name: 'r', host: 'h', pathPrefix: '/', kind: ROUTE_KIND.Idempotent, isOpen: true, isResumable: false, timeoutMs: 5000, objectiveMs: 300, pauseObjectiveMs: 300, callerPatienceMs: 60_000,
	priority: 0, maxAttempts: 2, shares: [{service: SERVICE, weight: 1}],
};

/** The fraction of a reserve that a gateway shares out, so that the others have their part even if no leader counts them. */
const BUDGET_SHARE = 0.85;

const CODEC = {newUpstreamHeaders: () => []} as unknown as CallerCodec;

/** The dispatcher of a gateway on virtual time, with a route of two attempts to two upstreams that answer each attempt after the same time. */
export class PlainGateway {
	readonly time = new VirtualTime();
	readonly ends = new Map<string, CallerEnd>();
	/** Attempts that were ended before their upstream answered, by code. */
	readonly givenUp = new Map<number, number>();
	/** Attempts that were started. */
	sent = 0;
	/** When the last of them was started, in milliseconds. */
	lastSentAt = 0;
	readonly #options: GatewayOptions;
	readonly #dispatcher: RequestDispatcher;
	readonly #statuses = new Map<string, number>();

	constructor(options: GatewayOptions) {
		this.#options = options;
		const table = newPlainTable(ROUTE);
		// The bucket holds no part of a retry, and requests earn none.
		const admission = newGatewayAdmission({
			dataCentre: 'z', ratio: 0, reserve: (options.retries + 0.5) / BUDGET_SHARE, windowMs: 1000, gatewayCount: 1, countedSince: -1000, isUnspent: true,
		});
		this.#dispatcher = newSimulatedDispatcher(this.time, {
			timers: newProcessTimers(this.time, new VirtualProcess(this.time)),
			getSettings: () => admission,
			codec: CODEC,
			origins: undefined as never,
			getTable: () => table,
			getGatewayCount: () => 1,
			random: () => 0.5,
			newAttempt: terms => this.#startAttempt(terms),
			onEnd: ({head}, code, outcome) => {
				this.ends.set(head.id, {
					status: this.#statuses.get(head.id), code, outcome, at: this.time.now,
				});
			},
		});
		this.#dispatcher.takeDirectory(UPSTREAMS.map(id => newUpstream(id, {service: SERVICE, slots: SLOTS})));
	}

	/** A request that a caller sends now. */
	arrive(id: string): void {
		this.#dispatcher.arrive(newPlainRequest({
			id,
			route: {...ROUTE, kind: this.#options.kind ?? ROUTE.kind},
			arrivedAt: this.time.now,
			answer: {
				start: status => {
					this.#statuses.set(id, status);
				},
			},
		}));
	}

	#startAttempt({requestId, upstreamId, events}: AttemptOptions): SentAttempt {
		const {time, givenUp} = this;
		const {serviceMs, status} = this.#options;
		let isOver = false;
		this.sent += 1;
		this.lastSentAt = time.now;
		time.after(serviceMs, () => {
			if (!isOver) {
				isOver = true;
				if (events.onHead({statusCode: status, headers: {'content-length': '0'}, rawHeaders: ['content-length', '0']})) {
					events.onEnd();
				}
			}
		});
		return {
			requestId,
			upstreamId,
			startedAt: time.now,
			isSent: true,
			isAnswered: false,
			isConnectionReused: false,
			cancel() {
				isOver = true;
			},
			fail(code, reason) {
				isOver = true;
				givenUp.set(code, (givenUp.get(code) ?? 0) + 1);
				events.onFailure(newAttemptFailure(code, OUTCOME.Unknown, reason));
			},
		};
	}
}
