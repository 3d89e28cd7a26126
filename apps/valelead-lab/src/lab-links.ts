import type {Upstream} from '@valelead/discovery';
import type {VirtualClock} from '@valelead/emulator';
import type {EngineReport} from '@valelead/protocol';
import type {UnitNeed} from '@valelead/residency';
import {
	type EngineLinks, type EngineSummary, type StoreReport, NO_STORE_REPORT, getDemandText,
} from 'valelead-daemon';
import type {LabEngine} from './lab-engine.js';

type LabLinksParts = {
	readonly gateway: string;
	readonly clock: VirtualClock;
	readonly linkMs: number;
	readonly getEngine: (id: string) => LabEngine | undefined;
	readonly onReport: (address: string, report: EngineReport | undefined) => void;
};

type Link = {
	readonly engine: LabEngine;
	readonly unsubscribe: () => void;
	told: string;
};

/** Nothing was told before, so that each report is whole. */
const NO_COPIES = '';

/** The links from one gateway to the sidecars, with a delay in place of a network. */
export class LabLinks implements EngineLinks {
	readonly #parts: LabLinksParts;
	readonly #links = new Map<string, Link>();

	constructor(parts: LabLinksParts) {
		this.#parts = parts;
	}

	follow(engines: readonly Upstream[]): void {
		const ids = new Set(engines.map(engine => engine.id));
		for (const id of ids) {
			const engine = this.#parts.getEngine(id);
			if (engine && !this.#links.has(id)) {
				this.#connect(engine);
			}
		}

		for (const [id, link] of this.#links) {
			if (!ids.has(id)) {
				link.unsubscribe();
				link.engine.keeper.removeStream(this.#parts.gateway);
				this.#links.delete(id);
				this.#parts.onReport(link.engine.address, undefined);
			}
		}
	}

	setNeeds(needs: ReadonlyMap<string, readonly UnitNeed[]>, store: StoreReport): void {
		for (const [id, link] of this.#links) {
			const own = needs.get(id) ?? [];
			const told = getDemandText(own, store);
			if (told !== link.told) {
				link.told = told;
				this.#parts.clock.schedule(this.#parts.linkMs, () => {
					link.engine.keeper.setNeeds(this.#parts.gateway, own, store);
				});
			}
		}
	}

	#connect(engine: LabEngine): void {
		const send = (summary: EngineSummary): void => {
			const {report} = engine.encoder.encode(summary, NO_COPIES);
			this.#parts.clock.schedule(this.#parts.linkMs, () => {
				this.#parts.onReport(engine.address, report);
			});
		};

		this.#links.set(engine.id, {engine, unsubscribe: engine.keeper.subscribe(send), told: getDemandText([], NO_STORE_REPORT)});
		const {summary} = engine.keeper;
		if (summary) {
			send(summary);
		}
	}
}
