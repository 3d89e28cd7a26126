import type {EngineView} from './engine-view.js';

/** A model on the engines of its service. */
type HeldModel = {
	/** The engines that hold it. */
	readonly held: readonly EngineView[];
	/** Requests of all gateways for it that are in progress there. */
	readonly inProgress: number;
	/** Requests of all gateways that wait for it to be loaded, as sidecars tell. */
	readonly waiting: number;
};

/** The engines of one service by what they hold and load, looked through once for all models. */
export class ServiceEngines {
	readonly #held = new Map<string, EngineView[]>();
	readonly #waiting = new Map<string, number>();

	constructor(readonly views: readonly EngineView[]) {
		for (const view of views) {
			this.#add(view);
		}
	}

	get(model: string): HeldModel {
		const held = this.#held.get(model) ?? [];
		const inProgress = held.reduce((sum, view) => sum + (view.inProgressByModel.get(model) ?? 0), 0);
		return {held, inProgress, waiting: this.#waiting.get(model) ?? 0};
	}

	#add(view: EngineView): void {
		for (const {name} of view.models) {
			const held = this.#held.get(name);
			if (!held) {
				this.#held.set(name, [view]);
			} else if (held.at(-1) !== view) {
				held.push(view);
			}
		}

		for (const load of view.loads) {
			const isFirst = view.loads.find(other => other.model === load.model) === load;
			if (isFirst && load.waiting > 0) {
				this.#waiting.set(load.model, (this.#waiting.get(load.model) ?? 0) + load.waiting);
			}
		}
	}
}
