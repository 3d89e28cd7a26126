import {
	type AgentEvent, type AgentSettings, type AgentState, type OrderResult, type UpstreamOrder, getUnitReports, mutateAgent, newAgentState,
} from '@valelead/engine';
import type {VmOrders, VmReport} from '@valelead/membership';
import {VirtualProcess} from '../support/virtual-process.js';
import type {VirtualNetwork} from '../support/virtual-network.js';
import type {VirtualTime} from '../support/virtual-time.js';
import type {FakeEngineVm} from './fake-engine-vm.js';
import type {FleetMutation} from './fleet-mutation.js';

const SETTINGS: AgentSettings = {
	creditMs: 1000,
	spareCredits: 2,
	maxConfigurationAgeMs: 3000,
	replicaLeaseMs: 5000,
	settleMs: 600,
	loadRetryMs: 200,
};

const STATUS_MS = 100;
const REPORT_MS = 150;

/** Far above any start time, so that incarnations of the test sort like real ones. */
const FIRST_START_MS = 1_700_000_000_000;

/** One agent over virtual time: the shipping decisions with a fake engine beside it. */
export class FakeAgent {
	readonly process: VirtualProcess;
	readonly engine: FakeEngineVm;
	state: AgentState = newAgentState();
	readonly #name: string;
	readonly #time: VirtualTime;
	readonly #network: VirtualNetwork;
	readonly #mutation: FleetMutation;
	readonly #report: (report: VmReport, sentAt: number) => void;

	constructor(name: string, time: VirtualTime, network: VirtualNetwork, engine: FakeEngineVm, mutation: FleetMutation, report: (report: VmReport, sentAt: number) => void) {
		this.#name = name;
		this.#time = time;
		this.#network = network;
		this.engine = engine;
		this.#mutation = mutation;
		this.#report = report;
		this.process = new VirtualProcess(time);
		this.#start();
	}

	crash(): void {
		this.process.crash();
	}

	restart(): void {
		this.process.restart();
		this.state = newAgentState();
		this.#start();
	}

	takeOrders(orders: VmOrders, requestedAt: number): void {
		if (this.#mutation === 'old orders are taken') {
			this.state.revision = 0;
			this.state.released.clear();
		}

		this.#take({kind: 'orders', orders, requestedAt});
		if (this.#mutation === 'unknown orders are forgotten') {
			for (const unit of this.state.units.values()) {
				unit.state = unit.state === 'uncertain' ? 'reserved' : unit.state;
			}
		}
	}

	#start(): void {
		this.#repeat(STATUS_MS, () => {
			this.#askStatus();
		});
		this.#repeat(REPORT_MS, () => {
			this.#take({kind: 'tick'});
			this.#sendReport();
		});
	}

	#repeat(periodMs: number, action: () => void): void {
		this.process.after(periodMs, () => {
			action();
			this.#repeat(periodMs, action);
		});
	}

	#askStatus(): void {
		const requestedAt = this.#time.now;
		const {run} = this.process;
		this.#callEngine(() => {
			const {status} = this.engine;
			const memoryBytes = this.#mutation === 'memory is not counted' ? status.memoryBytes * 10 : status.memoryBytes;
			this.#reply(run, () => {
				const isRestart = this.state.status && this.state.status.incarnation !== status.incarnation;
				if (isRestart && this.#mutation === 'an engine restart counts as proof') {
					this.#releaseAll();
				}

				this.#take({kind: 'status', status: {...status, memoryBytes}, requestedAt});
			});
		});
	}

	#callEngine(action: () => void): void {
		this.#network.send(this.#name, `${this.#name}-engine`, () => {
			this.engine.process.take(action);
		});
	}

	#reply(run: number, action: () => void): void {
		this.#network.send(`${this.#name}-engine`, this.#name, () => {
			if (run === this.process.run) {
				this.process.take(action);
			}
		});
	}

	#take(event: AgentEvent): void {
		for (const effect of mutateAgent(this.state, SETTINGS, event, this.#time.now)) {
			if (effect.kind === 'load') {
				this.#order('loadEnded', effect.order);
			} else if (effect.kind === 'unload') {
				this.#order('unloadEnded', effect.order);
			}
		}
	}

	/** An order whose answer does not come is reported as unknown after a while. */
	#order(kind: 'loadEnded' | 'unloadEnded', order: UpstreamOrder): void {
		const {run} = this.process;
		let isAnswered = false;
		const end = (result: OrderResult): void => {
			if (!isAnswered) {
				isAnswered = true;
				this.#take({kind, unit: order.unit, result});
			}
		};

		this.#callEngine(() => {
			const onEnd = (result: OrderResult): void => {
				this.#reply(run, () => {
					end(result);
				});
			};

			if (kind === 'loadEnded') {
				this.engine.load(order, onEnd);
			} else {
				this.engine.unload(order, onEnd);
			}
		});
		this.process.after(1500, () => {
			end('unknown');
		});
		if (kind === 'unloadEnded' && this.#mutation === 'release before the unload') {
			this.#releaseEarly(order.unit);
		}
	}

	#releaseAll(): void {
		for (const unit of this.state.units.values()) {
			unit.state = 'gone';
		}
	}

	#releaseEarly(key: string): void {
		const unit = this.state.units.get(key);
		if (unit) {
			this.state.released.add(unit.grantId);
		}
	}

	#sendReport(): void {
		const {status} = this.state;
		if (!status) {
			return;
		}

		this.#report({
			vm: this.#name,
			dataCentre: 'dc-1',
			address: this.#name,
			incarnation: `${FIRST_START_MS + this.process.run}-x`,
			upstreamIncarnation: status.incarnation,
			memoryBytes: status.memoryBytes,
			units: getUnitReports(this.state, this.#time.now),
			released: [...this.state.released],
			isLeaving: false,
			inProgress: 0,
			capacity: status.capacity,
			service: '',
			cached: [],
		}, this.#time.now);
	}
}
