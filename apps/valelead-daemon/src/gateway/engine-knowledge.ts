import type {EngineView} from './engine-view.js';

type ServiceKnowledge = {
	/** The engines that are known, and those of them that sidecars tell of. */
	readonly engines: string;
	/** In monotonic milliseconds. */
	readonly changedAt: number;
	readonly isComplete: boolean;
};

/** Engines announce themselves about once in this time, in milliseconds, and their sidecars are reached soon after. */
const SETTLE_MS = 1500;

/** An engine whose sidecar is not reached is waited for this long, in milliseconds. */
const MISSING_MS = 3000;

/**
 * How completely the engines of a service are known. After a start engines become known one after the other, and a model
 * seems to have no copy until the engine that keeps it is heard. Looking at them too early blocks engines with loads from the
 * weight store: 1 in 100 of the credit in the laboratory's power-loss, and seconds of a whole installation's recovery.
 */
export class EngineKnowledge {
	readonly #services = new Map<string, ServiceKnowledge>();

	/** Takes all engines as they are known now. */
	note(views: readonly EngineView[], now: number): void {
		for (const service of new Set(views.map(view => view.upstream.service))) {
			this.#noteService(service, views.filter(view => view.upstream.service === service), now);
		}
	}

	/** Whether what is known of the service's engines has not changed for long enough to tell which copies exist. */
	isSettled(service: string, now: number): boolean {
		const known = this.#services.get(service);
		return known !== undefined && now - known.changedAt > (known.isComplete ? SETTLE_MS : MISSING_MS);
	}

	#noteService(service: string, views: readonly EngineView[], now: number): void {
		const engines = views.map(view => `${view.upstream.id} ${view.hasSidecar}`).sort().join(',');
		const known = this.#services.get(service);
		if (known?.engines !== engines) {
			this.#services.set(service, {engines, changedAt: now, isComplete: views.every(view => view.hasSidecar)});
		}
	}
}
