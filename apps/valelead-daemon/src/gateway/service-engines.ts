import type {EngineView} from './engine-view.js';

/** The replicas of a model on the engines of its service, and their load. */
type ModelReplicas = {
	/** The engines on which the model is loaded. */
	readonly replicas: readonly EngineView[];
	/** Requests of all gateways for the model that are in progress on these engines. */
	readonly inProgress: number;
	/** Requests of all gateways that wait for the model to be loaded, as the managers of the engines report them. */
	readonly waiting: number;
};

/** Index of the engines of one service by the models that they have loaded or are to load, built once for all models. */
export class ServiceEngines {
	readonly #replicas = new Map<string, EngineView[]>();
	readonly #waiting = new Map<string, number>();

	constructor(readonly views: readonly EngineView[]) {
		for (const view of views) {
			this.#add(view);
		}
	}

	get(model: string): ModelReplicas {
		const replicas = this.#replicas.get(model) ?? [];
		const inProgress = replicas.reduce((sum, view) => sum + (view.inProgressByModel.get(model) ?? 0), 0);
		return {replicas, inProgress, waiting: this.#waiting.get(model) ?? 0};
	}

	#add(view: EngineView): void {
		for (const {name} of view.models) {
			const replicas = this.#replicas.get(name);
			if (!replicas) {
				this.#replicas.set(name, [view]);
			} else if (replicas.at(-1) !== view) {
				replicas.push(view);
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
