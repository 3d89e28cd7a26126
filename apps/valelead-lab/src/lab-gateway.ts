import type {TimerService} from '@valelead/common';
import type {Upstream} from '@valelead/discovery';
import type {Random, VirtualClock} from '@valelead/emulator';
import type {RouteTable} from '@valelead/routing';
import type {Logger} from 'pino';
import {
	type CallerCodec, type GatewayRequest, RequestDispatcher, newGatewayAdmission,
} from 'valelead-daemon';
import {LabAttempt} from './lab-attempt.js';
import type {LabCall} from './lab-call.js';
import type {LabEngine} from './lab-engine.js';
import {LabLinks} from './lab-links.js';
import {LAB_NAMES} from './lab-names.js';

type LabGatewayParts = {
	readonly name: string;
	readonly clock: VirtualClock;
	readonly timers: TimerService;
	readonly logger: Logger;
	readonly table: RouteTable;
	readonly gatewayCount: number;
	readonly linkMs: number;
	readonly random: Random;
	readonly getEngine: (id: string) => LabEngine | undefined;
	/** The gateway has news of crashed engines for the leader. */
	readonly onCrashNews: (gateway: LabGateway) => void;
	readonly onLimitNews: (gateway: LabGateway) => void;
};

/** The engine of an address. */
const getHost = (address: string): string => address.slice(0, address.lastIndexOf(':'));

/** Retries that the installation may send, as in the daemon's settings. */
const RETRY_RATIO = 0.2;
const RETRY_RESERVE = 60;
const RETRY_WINDOW_MS = 10_000;

/** Nothing is written on a wire here. */
const CODEC: CallerCodec = {
	readinessPath: '/',
	decodeRequest: () => ({
		id: '', deadlineMs: undefined, model: '', adapter: '', promptTokens: 0, maxNewTokens: 0,
		sharedSegments: [], hasTokenCount: false, isTokenCountValid: true, lastEventId: '', resumedRequestId: '', key: undefined,
	}),
	newUpstreamHeaders: () => [],
	decodeAnswer: () => ({
		requestId: '', isNotExecuted: false, isOtherUpstream: false, limitPerSecond: undefined,
	}),
};

/** The shipped dispatcher of a gateway over emulated engines. */
export class LabGateway {
	readonly name: string;
	readonly #dispatcher: RequestDispatcher;
	readonly #calls = new Map<string, LabCall>();

	constructor(parts: LabGatewayParts) {
		const {
			name, clock, timers, logger, table, gatewayCount, linkMs, getEngine,
		} = parts;
		this.name = name;
		const admission = newGatewayAdmission({
			dataCentre: LAB_NAMES.dataCentre, ratio: RETRY_RATIO, reserve: RETRY_RESERVE, windowMs: RETRY_WINDOW_MS, gatewayCount, countedSince: -RETRY_WINDOW_MS,
		});
		this.#dispatcher = new RequestDispatcher({
			getSettings: () => admission,
			codec: CODEC,
			timers,
			clock,
			logger,
			residency: new LabLinks({
				gateway: name,
				clock,
				linkMs,
				getEngine,
				onReport: (address, report) => {
					this.#dispatcher.takeReport(address, report);
				},
			}),
			// No caller of the lab resumes its stream at another gateway.
			origins: {
				record(_record, onSent) {
					onSent();
				},
				forget: () => undefined,
			},
			getTable: () => table,
			isLoadForecast: true,
			getGatewayCount: () => gatewayCount,
			random: () => parts.random.next(),
			newAttempt: terms => new LabAttempt({
				terms, engine: getEngine(terms.upstreamId), clock, linkMs, run: this.#calls.get(terms.requestId)!.run,
			}),
			getLeaderAgeMs: () => 0,
			isPortRefused: async address => getEngine(getHost(address))?.engine.hasCrashed ?? false,
			onCrash: () => undefined,
			onCrashReportDue: () => {
				parts.onCrashNews(this);
			},
			onLimitReportDue: () => {
				parts.onLimitNews(this);
			},
			onRetry: () => undefined,
			onAborted: () => undefined,
			onCancelled: () => undefined,
			// Nothing is suspended here.
			suspensions: {resumedAt: Number.NEGATIVE_INFINITY, lostMs: 0},
			onEnd: ({id}) => {
				this.#calls.delete(id);
			},
		});
	}

	get limitExchange(): RequestDispatcher['limitExchange'] {
		return this.#dispatcher.limitExchange;
	}

	get crashExchange(): RequestDispatcher['crashExchange'] {
		return this.#dispatcher.crashExchange;
	}

	takeDirectory(upstreams: readonly Upstream[]): void {
		this.#dispatcher.takeDirectory(upstreams);
	}

	/** Takes a call and returns the way to abandon it. */
	arrive(call: LabCall, request: GatewayRequest): () => void {
		this.#calls.set(request.id, call);
		this.#dispatcher.arrive(request);
		return () => {
			this.#dispatcher.abandon(request.id);
		};
	}
}
