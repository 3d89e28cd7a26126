import process from 'node:process';
import {TimerService} from '@valelead/common';
import {
	EmulatedEngine, type ModelParameters, type Random, VirtualClock, WeightStore,
} from '@valelead/emulator';
import type {RouteTable} from '@valelead/routing';
import {type Logger, pino} from 'pino';
import {newEngineCopies} from 'valelead-daemon';
import {LabEngine} from './lab-engine.js';
import {LabGateway} from './lab-gateway.js';
import {LabLimits} from './lab-limits.js';
import {LabQuarantine} from './lab-quarantine.js';
import {LAB_NAMES} from './lab-names.js';
import {newLabRouting} from './new-lab-routing.js';
import {newModels} from './new-models.js';
import type {Pattern} from './pattern.js';

/** A model to place at the start, and how many engines hold it and keep a copy of it. */
type PlacedModel = {
	readonly name: string;
	readonly holders: number;
	readonly copies: number;
	readonly weightMemory: number;
};

/** What has been placed on an engine, in megabytes, and its rank among equals. */
type EngineRoom = {
	held: number;
	kept: number;
	readonly order: number;
};

/** How often engines announce themselves, in milliseconds. */
const ANNOUNCE_MS = 1200;

/** Until a change of what an engine announces has reached all followers, in milliseconds. */
const DIRECTORY_MS = 15;

/** Gateways, sidecars, engines and a weight store in virtual time. */
export class LabInstallation {
	readonly clock = new VirtualClock();
	readonly table: RouteTable;
	readonly gateways: readonly LabGateway[];
	readonly quarantine: LabQuarantine;
	readonly limits: LabLimits;
	/** How long an engine is down after it crashed under a request, in milliseconds. */
	crashDownMs = 0;
	/** Engines that crashed under requests. */
	crashes = 0;
	readonly #pattern: Pattern;
	readonly #timers = new TimerService(this.clock, this.clock);
	readonly #logger: Logger;
	readonly #models: ReadonlyMap<string, ModelParameters>;
	readonly #store: WeightStore;
	readonly #engines = new Map<string, LabEngine>();
	#engineCount = 0;

	/** @param isLogged - Whether the decisions are written to standard error, as the daemon does. */
	constructor(pattern: Pattern, random: Random, isLogged: boolean) {
		this.#pattern = pattern;
		this.#logger = pino({
			level: isLogged ? 'info' : 'silent', base: null, timestamp: () => `,"time":${Math.round(this.clock.now())}`,
		}, process.stderr);
		this.table = newLabRouting(pattern);
		this.#models = newModels(pattern);
		this.#store = new WeightStore(this.clock, pattern.fullSpeedStoreLoads);
		for (let index = 0; index < pattern.engines.count; index += 1) {
			this.startEngine();
		}

		this.#place(random);
		this.gateways = Array.from({length: pattern.gateways}, (_, index) => new LabGateway({
			name: `gateway-${index}`,
			clock: this.clock,
			timers: new TimerService(this.clock, this.clock),
			logger: this.#logger.child({vm: `gateway-${index}`}),
			table: this.table,
			gatewayCount: pattern.gateways,
			linkMs: pattern.linkMs,
			random,
			getEngine: id => this.#engines.get(id),
			onCrashNews: gateway => {
				this.quarantine.report(gateway);
			},
			onLimitNews: gateway => {
				this.limits.report(gateway);
			},
		}));
		this.quarantine = new LabQuarantine({
			clock: this.clock, timers: this.#timers, logger: this.#logger.child({vm: 'leader'}), linkMs: pattern.linkMs, getGateways: () => this.gateways,
		});
		this.limits = new LabLimits({
			clock: this.clock, timers: this.#timers, logger: this.#logger.child({vm: 'leader'}), linkMs: pattern.linkMs, getGateways: () => this.gateways,
		});
		this.announce();
		this.#timers.repeat(ANNOUNCE_MS, () => {
			this.announce();
		});
	}

	get engines(): readonly LabEngine[] {
		return [...this.#engines.values()];
	}

	/** One way between a caller and a gateway, in milliseconds. */
	get linkMs(): number {
		return this.#pattern.linkMs;
	}

	getAdapterCount(model: string): number {
		return this.#models.get(model)?.adapters ?? 0;
	}

	/** Starts an engine that holds nothing. */
	startEngine(diskCopies: readonly string[] = []): LabEngine {
		const {engines} = this.#pattern;
		const id = `engine-${this.#engineCount}`;
		const slowness = engines.slowness?.[this.#engineCount] ?? 1;
		this.#engineCount += 1;
		const engine = new LabEngine({
			id,
			engine: new EmulatedEngine({
				clock: this.clock,
				store: this.#store,
				terms: engines,
				models: this.#models,
				slowness,
				onOrderEnd: () => {
					this.#announceChange(id);
				},
				onCrash: () => {
					this.#takeCrash(id);
				},
			}),
			clock: this.clock,
			timers: new TimerService(this.clock, this.clock),
			logger: this.#logger.child({vm: id}),
			table: this.table,
			slots: engines.slots,
			statusLagMs: this.#pattern.statusLagMs ?? 0,
		});
		for (const model of diskCopies) {
			engine.engine.keepDiskCopy(model);
		}

		this.#engines.set(id, engine);
		return engine;
	}

	/** Tells gateways and sidecars what the engines announce. */
	announce(): void {
		this.clock.schedule(DIRECTORY_MS, () => {
			const upstreams = this.engines.filter(({engine}) => engine.isUp).map(engine => engine.announce());
			for (const gateway of this.gateways) {
				gateway.takeDirectory(upstreams);
			}

			for (const {keeper} of this.#engines.values()) {
				keeper.setEngines(newEngineCopies(upstreams, LAB_NAMES.service));
			}
		});
	}

	/** An engine that crashed under a request comes back empty with its disk. */
	#takeCrash(id: string): void {
		const engine = this.#engines.get(id)!;
		this.crashes += 1;
		engine.keeper.stop();
		this.clock.schedule(this.crashDownMs, () => {
			this.startEngine(engine.engine.diskCopies);
			this.announce();
		});
	}

	/** An engine announces itself at once when an order is done; its keeper elsewhere hears of it as others do. */
	#announceChange(id: string): void {
		const engine = this.#engines.get(id);
		if (!engine || this.#pattern.statusLagMs === undefined) {
			return;
		}

		const upstream = engine.announce();
		this.clock.schedule(DIRECTORY_MS, () => {
			engine.keeper.applyAnnouncement(upstream);
		});
	}

	/** Places models and copies as an installation starts: as each group states, on the engines that have most room. */
	#place(random: Random): void {
		const placed = new Map<string, EngineRoom>(this.engines.map(engine => [engine.id, {held: 0, kept: 0, order: random.next()}]));
		for (const {group, count, holders, copies, weightMemory} of this.#pattern.models) {
			for (let index = 0; index < count; index += 1) {
				const name = `${group}${index}`;
				this.#placeModel({
					name, holders, copies, weightMemory,
				}, placed);
			}
		}
	}

	#placeModel(model: PlacedModel, placed: ReadonlyMap<string, EngineRoom>): void {
		const {weightMemory, diskMemory} = this.#pattern.engines;
		const byKept = this.engines.toSorted((left, right) => (placed.get(left.id)!.kept - placed.get(right.id)!.kept) || (placed.get(left.id)!.order - placed.get(right.id)!.order));
		for (const [position, {id, engine}] of byKept.entries()) {
			const room = placed.get(id)!;
			if (position < model.holders && room.held + model.weightMemory <= weightMemory) {
				engine.preload(model.name);
				room.held += model.weightMemory;
				room.kept += model.weightMemory;
			} else if (position < model.copies && room.kept + model.weightMemory <= diskMemory) {
				engine.keepCopy(model.name);
				room.kept += model.weightMemory;
			}
		}
	}
}
