import type {
	OrderResult, UpstreamOrder, UpstreamStatus, UpstreamUnit,
} from '@valelead/engine';
import {VirtualProcess} from '../support/virtual-process.js';
import type {VirtualTime} from '../support/virtual-time.js';

const DISK_LOAD_MS = 300;

/** An engine over virtual time. Its own inventory is the truth that the oracle looks at. */
export class FakeEngineVm {
	readonly process: VirtualProcess;
	readonly units = new Map<string, UpstreamUnit>();
	readonly memoryBytes: number;
	readonly #checksFence: boolean;
	readonly #name: string;
	#highestFence = 0;

	constructor(name: string, time: VirtualTime, memoryBytes: number, checksFence: boolean) {
		this.#name = name;
		this.process = new VirtualProcess(time);
		this.memoryBytes = memoryBytes;
		this.#checksFence = checksFence;
	}

	get usedBytes(): number {
		return [...this.units.values()].reduce((sum, unit) => sum + unit.memoryBytes, 0);
	}

	get status(): UpstreamStatus {
		return {
			incarnation: `${this.#name}-${this.process.run}`,
			memoryBytes: this.memoryBytes,
			units: [...this.units.values()],
			cached: [],
			service: '',
			capacity: 4,
			isLeaving: false,
			abilities: {checksFence: this.#checksFence, resumesStreams: false, honoursPriorities: false},
		};
	}

	load(order: UpstreamOrder, onEnd: (result: OrderResult) => void): void {
		if (this.#isOld(order.fence)) {
			onEnd('refused');
			return;
		}

		if (this.units.has(order.unit)) {
			onEnd('done');
			return;
		}

		const unit: UpstreamUnit = {unit: order.unit, state: 'loading', memoryBytes: order.memoryBytes};
		this.units.set(order.unit, unit);
		this.process.after(DISK_LOAD_MS, () => {
			if (this.units.get(order.unit) === unit) {
				this.units.set(order.unit, {...unit, state: 'ready'});
			}

			onEnd('done');
		});
	}

	unload(order: UpstreamOrder, onEnd: (result: OrderResult) => void): void {
		if (this.#isOld(order.fence)) {
			onEnd('refused');
			return;
		}

		this.units.delete(order.unit);
		onEnd('done');
	}

	crash(): void {
		this.process.crash();
		this.units.clear();
	}

	#isOld(fence: number): boolean {
		const isOld = this.#checksFence && fence < this.#highestFence;
		this.#highestFence = Math.max(this.#highestFence, fence);
		return isOld;
	}
}
