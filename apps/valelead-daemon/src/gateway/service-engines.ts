import type {EngineView} from './engine-view.js';

/** A model on the engines of its service. */
type HeldModel = {
	/** The engines that hold it. */
	readonly held: EngineView[];
	/** Requests of all gateways for it that are in progress there. */
	inProgress: number;
	/** Requests of all gateways that wait for it to be loaded, as sidecars tell. */
	waiting: number;
};

/** The engines of one service by what they hold and load, looked through once for all models. */
export class ServiceEngines {
	readonly #models = new Map<string, HeldModel>();

	constructor(readonly views: readonly EngineView[]) {
		for (const view of views) {
			this.#add(view);
		}
	}

	get(model: string): Readonly<HeldModel> {
		return this.#models.get(model) ?? {held: [], inProgress: 0, waiting: 0};
	}

	#add(view: EngineView): void {
		for (const {name} of view.models) {
			const known = this.#getOrAdd(name);
			if (known.held.at(-1) !== view) {
				known.held.push(view);
				known.inProgress += view.inProgressByModel.get(name) ?? 0;
			}
		}

		for (const load of view.loads) {
			const isFirst = view.loads.find(other => other.model === load.model) === load;
			this.#getOrAdd(load.model).waiting += isFirst ? load.waiting : 0;
		}
	}

	#getOrAdd(model: string): HeldModel {
		const known = this.#models.get(model) ?? {held: [], inProgress: 0, waiting: 0};
		this.#models.set(model, known);
		return known;
	}
}
