import type {Random} from '@valelead/emulator';
import type {CallResult} from './call-result.js';
import type {CallerGroup} from './caller-group.js';
import {LabCaller} from './lab-caller.js';
import type {LabCall} from './lab-call.js';
import type {LabInstallation} from './lab-installation.js';
import type {Pattern} from './pattern.js';

const MS_PER_SECOND = 1000;

/** Callers that come at random at the rates of their classes. */
export class LabTraffic {
	readonly #installation: LabInstallation;
	readonly #random: Random;
	readonly #callerGroups: readonly CallerGroup[];
	readonly #onEnd: (result: CallResult) => void;
	/** Factors of running bursts, and the present weights of models, by class. */
	readonly #factors = new Map<string, number>();
	readonly #weights = new Map<string, readonly number[]>();
	readonly #models = new Map<string, readonly string[]>();
	#isOver = false;

	constructor(pattern: Pattern, installation: LabInstallation, random: Random, onEnd: (result: CallResult) => void) {
		this.#installation = installation;
		this.#random = random;
		this.#callerGroups = pattern.classes;
		this.#onEnd = onEnd;
		for (const callerGroup of pattern.classes) {
			const models = pattern.models.filter(({group}) => callerGroup.groups.includes(group)).flatMap(({group, count}) => Array.from({length: count}, (_, index) => `${group}${index}`));
			this.#models.set(callerGroup.name, models);
			this.setWeights(callerGroup.name, callerGroup.weights ?? models.map(() => 1));
			this.#scheduleNext(callerGroup);
		}
	}

	setFactor(className: string, factor: number): void {
		this.#factors.set(className, factor);
	}

	/** Sets the weights of a class's first models; the others are not asked for. */
	setWeights(className: string, weights: readonly number[]): void {
		this.#weights.set(className, weights);
	}

	stop(): void {
		this.#isOver = true;
	}

	/** A request that crashes engines is sent again and again until a time, as by a caller that never gives up. */
	repeatCrashing(className: string, name: string, everyMs: number, until: number): void {
		const {clock} = this.#installation;
		if (this.#isOver || clock.now() >= until) {
			return;
		}

		const callerGroup = this.#callerGroups.find(group => group.name === className)!;
		const call = {...this.#newCall(callerGroup), url: `/${name}`};
		this.#start({...call, run: {...call.run, isCrashing: true}}, () => undefined);
		clock.schedule(this.#random.sampleExponential(1 / everyMs), () => {
			this.repeatCrashing(className, name, everyMs, until);
		});
	}

	#scheduleNext(callerGroup: CallerGroup): void {
		const clump = callerGroup.clump ?? 1;
		const rate = callerGroup.perSecond * (this.#factors.get(callerGroup.name) ?? 1) / clump;
		this.#installation.clock.schedule(this.#random.sampleExponential(rate) * MS_PER_SECOND, () => {
			if (this.#isOver) {
				return;
			}

			for (let count = this.#getClumpSize(clump); count > 0; count -= 1) {
				this.#call(callerGroup);
			}

			this.#scheduleNext(callerGroup);
		});
	}

	/** A geometric number with the given mean. */
	#getClumpSize(mean: number): number {
		let size = 1;
		while (this.#random.next() > 1 / mean) {
			size += 1;
		}

		return size;
	}

	#call(callerGroup: CallerGroup): void {
		this.#start(this.#newCall(callerGroup), this.#onEnd);
	}

	#newCall(callerGroup: CallerGroup): LabCall {
		const model = this.#models.get(callerGroup.name)![this.#random.sampleIndex(this.#weights.get(callerGroup.name)!)];
		return {
			callerGroup,
			run: {
				model,
				adapter: this.#getAdapter(callerGroup, model),
				ownTokens: this.#random.sampleLength(callerGroup.ownTokens),
				sharedTokens: callerGroup.sharedTokens,
				newTokens: this.#random.sampleLength(callerGroup.newTokens),
				priority: callerGroup.priority,
			},
			firstAt: this.#installation.clock.now(),
			tries: 0,
		};
	}

	#start(call: LabCall, onEnd: (result: CallResult) => void): void {
		const {clock, table, gateways} = this.#installation;
		const caller = new LabCaller({
			call,
			route: table.routing.routes.find(route => route.name === call.callerGroup.name)!,
			clock,
			linkMs: this.#installation.linkMs,
			getGateway: () => gateways[Math.floor(this.#random.next() * gateways.length)],
			onEnd,
		});
		caller.start();
	}

	#getAdapter({adapterShare}: CallerGroup, model: string): string {
		const adapters = this.#installation.getAdapterCount(model);
		const isAdapter = this.#random.next() < adapterShare && adapters > 0;
		return isAdapter ? `a${1 + Math.floor(this.#random.next() * adapters)}` : '';
	}
}
