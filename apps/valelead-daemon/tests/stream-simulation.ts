import {Buffer} from 'node:buffer';
import type {Clock} from '@valelead/common';
import {type Route, ROUTE_KIND} from '@valelead/routing';
import {pino} from 'pino';
import {newProcessTimers} from '../../../tests/support/new-process-timers.js';
import {newUpstream} from '../../../tests/support/new-upstream.js';
import {VirtualProcess} from '../../../tests/support/virtual-process.js';
import {VirtualTime} from '../../../tests/support/virtual-time.js';
import {newCallerHead} from './new-caller-head.js';
import {newPlainTable} from './new-plain-table.js';
import {newSimulatedDispatcher} from './new-simulated-dispatcher.js';
import {SimulatedCallerAttempt} from './simulated-caller-attempt.js';
import type {SimulatedHolder} from './simulated-holder.js';
import {SimulatedOriginPool} from './simulated-origin-pool.js';
import {SimulatedStreamAttempt} from './simulated-stream-attempt.js';
import type {SimulatedStreamEngine} from './simulated-stream-engine.js';
import type {SimulatedStream} from './simulated-stream.js';
import type {AttemptShare} from './attempt-share.js';
import {
	type CallerCodec, type GatewayRequest, type RequestDispatcher, OriginClient, OriginStore, getResumedOrigin, getTarget, newGatewayAdmission, newGatewayRequest,
} from 'valelead-daemon';

type Gateway = {
	readonly name: string;
	readonly process: VirtualProcess;
	/** Addresses of the holders that it cannot reach. */
	readonly cutHolders: Set<string>;
	/** Everything that a restart loses. */
	parts: GatewayParts;
	/** True while it learns nothing of engines. */
	isDirectoryStale: boolean;
	troubledAt: number;
};

type GatewayParts = {
	readonly pool: SimulatedOriginPool;
	readonly origins: OriginClient;
	readonly dispatcher: RequestDispatcher;
};

type SimulationOptions = {
	readonly random: () => number;
	/** True if gateways use what is known of where streams began; false shows what happens without it. */
	readonly isOriginUsed: boolean;
};

const GATEWAYS = 4;
const HOLDERS = ['voter-1', 'voter-2', 'voter-3', 'voter-4'];
const SERVICES = ['s', 't'];
const LINK_MS = 3;
const RETRY_MS = 40;
const MAX_ATTEMPTS = 4;
const DEADLINE_MS = 10_000;

/** A process counts as in touch after this time without trouble, in milliseconds. */
const CONTACT_MS = 3000;

/** Longest time until a gateway learns of a change of the engines, in milliseconds. */
const DIRECTORY_MS = 400;

/** Longest time that a message takes, in milliseconds; most take a few. */
const SLOW_MESSAGE_MS = 300;
const FAST_MESSAGE_MS = 4;
const SLOW_SHARE = 0.02;

const ENGINES_TO_CONTINUE = 2;

const ROUTE: Route = {
	name: 'r',
	host: 'h',
	pathPrefix: '/',
	kind: ROUTE_KIND.Stream,
	isOpen: true,
	isResumable: true,
	timeoutMs: DEADLINE_MS,
	objectiveMs: 400,
	pauseObjectiveMs: 300,
	callerPatienceMs: 3000,
	priority: 0,
	maxAttempts: 3,
	shares: SERVICES.map(service => ({service, weight: 1})),
};

const TABLE = newPlainTable(ROUTE);

const CODEC: CallerCodec = {
	readinessPath: '/',
	decodeRequest() {
		throw new Error('requests are not encoded here');
	},
	newUpstreamHeaders: (rawHeaders, {lastEventId}) => lastEventId === undefined ? [...rawHeaders] : ['last-event-id', lastEventId],
	decodeAnswer: () => ({
		requestId: '', isNotExecuted: false, isOtherUpstream: false, limitPerSecond: undefined,
	}),
};

const ignore = (): void => undefined;

/** Gateways with the shipped dispatcher and the shipped memory of origins, on virtual time, with callers that resume their streams at any gateway. */
export class StreamSimulation {
	readonly time = new VirtualTime();
	readonly clock: Clock = {now: () => this.time.now, wallNow: () => this.time.now};
	readonly streams: SimulatedStream[] = [];
	readonly gateways: Gateway[];
	readonly engines: SimulatedStreamEngine[] = [];
	/** New streams, and resumed ones of which at least two engines could continue each, at gateways in touch while all holders were. */
	readonly begun: AttemptShare = {tries: 0, served: 0};
	readonly resumed: AttemptShare = {tries: 0, served: 0};
	readonly #options: SimulationOptions;
	readonly #holders: ReadonlyMap<string, SimulatedHolder>;
	#holdersTroubledAt = Number.NEGATIVE_INFINITY;
	#nextEngine = 1;

	constructor(options: SimulationOptions) {
		this.#options = options;
		this.#holders = new Map(HOLDERS.map(address => {
			const process = new VirtualProcess(this.time);
			return [address, {process, store: this.#newStore(process)}];
		}));
		this.gateways = Array.from({length: GATEWAYS}, (_, index) => this.#newGateway(`gateway-${index}`));
	}

	/** Begins a stream at a gateway; the caller resumes it elsewhere whenever it breaks. */
	begin(): void {
		const stream = {
			name: `stream-${this.streams.length}`, sources: [], lastEvent: 0, firstAttempt: '', attempts: 0, isWhole: false, isBroken: false,
		};
		this.streams.push(stream);
		this.#try(stream);
	}

	addEngine(service: string, softwareVersion: string): void {
		this.engines.push({
			id: `run-${this.#nextEngine}`, service, softwareVersion, isUp: true,
		});
		this.#nextEngine += 1;
		this.#publishDirectory();
	}

	/** Ends an engine; gateways learn of it later. */
	endEngine(index: number): void {
		const [engine] = this.engines.splice(index % this.engines.length, 1);
		engine.isUp = false;
		this.#publishDirectory();
	}

	/** Kills a gateway, which starts again at once without its memory. */
	killGateway(index: number): void {
		const gateway = this.gateways[index % GATEWAYS];
		gateway.process.crash();
		gateway.process.restart();
		gateway.parts = this.#newParts(gateway);
		gateway.troubledAt = this.time.now;
		this.#learnDirectory(gateway);
	}

	killHolder(index: number): void {
		const address = HOLDERS[index % HOLDERS.length];
		const holder = this.#holders.get(address)!;
		holder.process.crash();
		holder.process.restart();
		holder.store = this.#newStore(holder.process);
		this.#holdersTroubledAt = this.time.now;
		for (const gateway of this.gateways) {
			gateway.parts.pool.noteEnd(address);
		}
	}

	killAllHolders(): void {
		for (const index of HOLDERS.keys()) {
			this.killHolder(index);
		}
	}

	/** Cuts a gateway off from one holder, or from all of them and from news of engines. */
	cut(gatewayIndex: number, holderIndex: number | undefined, forMs: number): void {
		const gateway = this.gateways[gatewayIndex % GATEWAYS];
		const addresses = holderIndex === undefined ? HOLDERS : [HOLDERS[holderIndex % HOLDERS.length]];
		gateway.isDirectoryStale = holderIndex === undefined;
		for (const address of addresses) {
			gateway.cutHolders.add(address);
			gateway.parts.pool.noteCut(address);
		}

		gateway.troubledAt = this.time.now + forMs;
		this.time.after(forMs, () => {
			gateway.cutHolders.clear();
			gateway.isDirectoryStale = false;
			this.#learnDirectory(gateway);
		});
	}

	freezeGateway(index: number, forMs: number): void {
		const gateway = this.gateways[index % GATEWAYS];
		gateway.process.freeze();
		gateway.troubledAt = this.time.now + forMs;
		this.time.after(forMs, () => {
			gateway.process.thaw();
		});
	}

	#getDelayMs(): number {
		const {random} = this.#options;
		return random() * (random() < SLOW_SHARE ? SLOW_MESSAGE_MS : FAST_MESSAGE_MS);
	}

	#newStore(process: VirtualProcess): OriginStore {
		return new OriginStore({clock: this.clock, timers: newProcessTimers(this.time, process)});
	}

	#newGateway(name: string): Gateway {
		const gateway = {
			name, process: new VirtualProcess(this.time), cutHolders: new Set<string>(), isDirectoryStale: false, troubledAt: Number.NEGATIVE_INFINITY,
		};
		return Object.assign(gateway, {parts: this.#newParts(gateway)});
	}

	#newParts({process, cutHolders}: Pick<Gateway, 'process' | 'cutHolders'>): GatewayParts {
		const {time, clock} = this;
		const timers = newProcessTimers(time, process);
		const logger = pino({enabled: false});
		const pool = new SimulatedOriginPool({
			time, clock, process, holders: this.#holders, isCut: address => cutHolders.has(address), getDelayMs: () => this.#getDelayMs(),
		});
		const origins = new OriginClient({
			pool, clock, timers, logger, onLookup: ignore,
		});
		origins.setVoterAddresses(HOLDERS);
		const admission = newGatewayAdmission({
			dataCentre: 'z', ratio: 1, reserve: 1000, windowMs: 1000, gatewayCount: 1, countedSince: -1000, isUnspent: true,
		});
		const dispatcher = newSimulatedDispatcher(time, {
			timers,
			getSettings: () => admission,
			codec: CODEC,
			origins,
			getTable: () => TABLE,
			getGatewayCount: () => GATEWAYS,
			random: this.#options.random,
			newAttempt: terms => new SimulatedStreamAttempt(terms, this.#getEngine(terms.upstreamId), process),
			onEnd: ignore,
		});
		return {pool, origins, dispatcher};
	}

	#getEngine(id: string): SimulatedStreamEngine {
		return this.engines.find(engine => engine.id === id) ?? {
			id, service: '', softwareVersion: '', isUp: false,
		};
	}

	#publishDirectory(): void {
		for (const gateway of this.gateways) {
			this.#learnDirectory(gateway);
		}
	}

	#learnDirectory(gateway: Gateway): void {
		const {process, parts} = gateway;
		process.after(this.#options.random() * DIRECTORY_MS, () => {
			if (!gateway.isDirectoryStale) {
				const upstreams = this.engines.map(({id, service, softwareVersion}) => newUpstream(id, {service, softwareVersion}));
				parts.dispatcher.takeDirectory(upstreams);
			}
		});
	}

	#isInTouch({troubledAt}: Gateway): boolean {
		return this.time.now - Math.max(troubledAt, this.#holdersTroubledAt) > CONTACT_MS;
	}

	#try(stream: SimulatedStream): void {
		if (stream.attempts >= MAX_ATTEMPTS) {
			return;
		}

		stream.attempts += 1;
		const gateway = this.gateways[Math.floor(this.#options.random() * GATEWAYS)];
		const {process} = gateway;
		const {run} = process;
		const share = this.#getShare(stream, gateway);
		if (share) {
			share.tries += 1;
		}

		const attempt = new SimulatedCallerAttempt(stream, share, this.#options.random);
		this.time.after(LINK_MS, () => {
			if (process.run === run) {
				process.take(() => {
					void this.#arrive(gateway, stream, attempt);
				});
			}
		});
		this.#watch(process, run, attempt);
	}

	/** The caller notices the end of the gateway's process, and tries again after a broken or refused attempt. */
	#watch(process: VirtualProcess, run: number, attempt: SimulatedCallerAttempt): void {
		this.time.after(RETRY_MS, () => {
			if (attempt.isOver) {
				if (!attempt.stream.isWhole) {
					this.#try(attempt.stream);
				}

				return;
			}

			if (process.run !== run) {
				attempt.end();
			}

			this.#watch(process, run, attempt);
		});
	}

	#getShare({sources}: SimulatedStream, gateway: Gateway): AttemptShare | undefined {
		if (!this.#isInTouch(gateway)) {
			return undefined;
		}

		if (sources.length === 0) {
			return this.begun;
		}

		const fitting = this.engines.filter(({service, softwareVersion}) => `${service}/${softwareVersion}` === sources[0]);
		return fitting.length >= ENGINES_TO_CONTINUE ? this.resumed : undefined;
	}

	async #arrive({parts, process}: Gateway, stream: SimulatedStream, attempt: SimulatedCallerAttempt): Promise<void> {
		const head = newCallerHead(`${stream.name}.${stream.attempts}`, {
			deadlineMs: DEADLINE_MS, lastEventId: stream.lastEvent === 0 ? '' : String(stream.lastEvent), resumedRequestId: stream.firstAttempt,
		});
		attempt.id = head.id;
		const caller = {team: undefined, rank: 0, cost: 0};
		const {run} = process;
		try {
			const origin = this.#options.isOriginUsed
				? await getResumedOrigin({route: ROUTE, caller, head}, {
					findOrigin: async (key, requestId) => parts.origins.lookUp(key, requestId), findSoleVersion: async (route, service) => parts.origins.findSoleVersion(route, service),
				})
				: undefined;
			if (process.run !== run || attempt.isOver) {
				return;
			}

			const service = origin?.service ?? SERVICES[Math.floor(this.#options.random() * SERVICES.length)];
			parts.dispatcher.arrive(this.#newRequest({
				id: head.id, head, caller, service, origin, target: getTarget(service, '', ''), answer: attempt.newWriter(action => {
					this.time.after(LINK_MS, action);
				}),
			}));
			attempt.setAbandon(() => {
				process.take(() => {
					parts.dispatcher.abandon(head.id);
				});
			});
		} catch {
			// The gateway refuses the attempt.
			attempt.end();
		}
	}

	#newRequest(terms: Pick<GatewayRequest, 'id' | 'head' | 'caller' | 'service' | 'origin' | 'target' | 'answer'>): GatewayRequest {
		const {lastEventId} = terms.head;
		return newGatewayRequest({
			...terms,
			host: 'h',
			route: ROUTE,
			method: 'POST',
			url: '/',
			rawHeaders: lastEventId === '' ? [] : ['last-event-id', lastEventId],
			body: Buffer.alloc(0),
			arrivedAt: this.time.now,
			deadlineAt: this.time.now + DEADLINE_MS,
			routingVersion: 1,
		});
	}
}
