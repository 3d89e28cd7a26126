import {type PlacementReplica, type PlacementUnit, type PlacementView} from '@valelead/placement';
import type {Deployment} from './deployment.js';
import type {Policy} from './policy.js';
import type {ReplayResult} from './replay-result.js';
import type {Trace} from './trace.js';
import type {TraceRequest} from './trace-request.js';

type Loaded = {
	readonly grantId: string;
	readonly unit: string;
	readonly vm: string;
	readonly memoryBytes: number;
	readyAt: number;
	isRevoking: boolean;
	inProgress: number;
	lastUsedAt: number;
};

type Waiting = {
	readonly request: TraceRequest;
	readonly wasCold: boolean;
};

type Vm = {
	readonly name: string;
	readonly cached: Set<string>;
	readonly replicas: Map<string, Loaded>;
	inProgress: number;
	awayUntil: number;
};

const GIB = 2 ** 30;
const STEP_MS = 500;
const HOUR_MS = 3_600_000;
const REMOTE_MS_PER_GIB = 1000;
const DISK_MS_PER_GIB = 250;
const UNLOAD_MS = 400;
const AWAY_MS = 600_000;
const CACHE_UNITS = 12;

/** Memory of a model in GiB: 4, 8, 12 or 16 by its number. */
const getMemoryBytes = (unit: string): number => (1 + (Number(/\d+/v.exec(unit)![0]) % 4)) * 4 * GIB;

const push = <Value>(lists: Map<string, Value[]>, key: string, value: Value): void => {
	const list = lists.get(key);
	if (list) {
		list.push(value);
	} else {
		lists.set(key, [value]);
	}
};

/**
 * Replays a trace in steps of virtual time around a policy's decisions. Engines are reduced to places and
 * memory; loads share the weight store, and VMs keep the last checkpoints on their disks.
 */
class Replay {
	readonly #deployment: Deployment;
	readonly #trace: Trace;
	readonly #policy: Policy;
	readonly #vms: Vm[];
	readonly #waiting = new Map<string, Waiting[]>();
	readonly #arrivals = new Map<string, number>();
	readonly #ends: Array<{readonly at: number; readonly replica: Loaded; readonly vm: Vm}> = [];
	readonly #served = new Map<string, number>();
	readonly #coldWaits = new Map<string, number[]>();
	readonly #teamWaits = new Map<string, number[]>();
	readonly #refused = new Map<string, number>();
	#idleMs = 0;
	#loadingMs = 0;
	#loads = 0;
	#cost = 0;
	#nextGrant = 1;

	constructor(deployment: Deployment, trace: Trace, policy: Policy) {
		this.#deployment = deployment;
		this.#trace = trace;
		this.#policy = policy;
		this.#vms = Array.from({length: deployment.engines}, (_, index) => ({
			name: `vm-${index}`, cached: new Set<string>(), replicas: new Map<string, Loaded>(), inProgress: 0, awayUntil: 0,
		}));
	}

	run(): ReplayResult {
		let next = 0;
		const {requests, durationMs, reclaimedAt} = this.#trace;
		for (let now = 0; now < durationMs; now += STEP_MS) {
			while (next < requests.length && requests[next].at <= now) {
				this.#arrive(requests[next]);
				next += 1;
			}

			if (reclaimedAt !== undefined && now <= reclaimedAt && reclaimedAt < now + STEP_MS) {
				this.#reclaim(this.#vms[0], now);
			}

			this.#endRequests(now);
			this.#endUnloads(now);
			this.#serve(now);
			this.#refuse(now);
			this.#decide(now);
			this.#account(now);
		}

		return {
			coldWaits: this.#coldWaits,
			teamWaits: this.#teamWaits,
			idleHours: this.#idleMs / HOUR_MS,
			loadingHours: this.#loadingMs / HOUR_MS,
			loads: this.#loads,
			served: [...this.#served.values()].reduce((sum, count) => sum + count, 0),
			refused: this.#refused,
			cost: this.#cost,
		};
	}

	#arrive(request: TraceRequest): void {
		const isReady = this.#vms.some(vm => (vm.replicas.get(request.unit)?.readyAt ?? Number.POSITIVE_INFINITY) <= request.at);
		push(this.#waiting, request.unit, {request, wasCold: !isReady});
		this.#arrivals.set(request.unit, (this.#arrivals.get(request.unit) ?? 0) + 1);
	}

	/** The VM goes away with all that it had; what it worked on is asked for again. */
	#reclaim(vm: Vm, now: number): void {
		vm.replicas.clear();
		vm.cached.clear();
		vm.inProgress = 0;
		vm.awayUntil = now + AWAY_MS;
	}

	#endRequests(now: number): void {
		for (let index = this.#ends.length - 1; index >= 0; index -= 1) {
			const {at, replica, vm} = this.#ends[index];
			if (at <= now) {
				this.#ends.splice(index, 1);
				replica.inProgress -= 1;
				replica.lastUsedAt = now;
				vm.inProgress = Math.max(0, vm.inProgress - 1);
			}
		}
	}

	#endUnloads(now: number): void {
		for (const vm of this.#vms) {
			for (const replica of vm.replicas.values()) {
				if (replica.isRevoking && replica.inProgress === 0 && now - replica.lastUsedAt >= UNLOAD_MS) {
					vm.replicas.delete(replica.unit);
				}
			}
		}
	}

	#serve(now: number): void {
		for (const [unit, queue] of this.#waiting) {
			while (queue.length > 0) {
				const vm = this.#getFreeVm(unit, now);
				if (!vm) {
					break;
				}

				this.#start(this.#takeNext(queue), vm, vm.replicas.get(unit)!, now);
			}

			if (queue.length === 0) {
				this.#waiting.delete(unit);
			}
		}
	}

	/** As the admission does: the team served least comes first. */
	#takeNext(queue: Waiting[]): Waiting {
		let best = 0;
		for (const [index, waiting] of queue.entries()) {
			if ((this.#served.get(waiting.request.team) ?? 0) < (this.#served.get(queue[best].request.team) ?? 0)) {
				best = index;
			}
		}

		return queue.splice(best, 1)[0];
	}

	#getFreeVm(unit: string, now: number): Vm | undefined {
		return this.#vms.find(vm => {
			const replica = vm.replicas.get(unit);
			return replica !== undefined && replica.readyAt <= now && !replica.isRevoking && vm.inProgress < this.#deployment.capacity;
		});
	}

	#start({request, wasCold}: Waiting, vm: Vm, replica: Loaded, now: number): void {
		const waitedMs = now - request.at;
		this.#served.set(request.team, (this.#served.get(request.team) ?? 0) + 1);
		push(this.#teamWaits, request.team, waitedMs);
		if (wasCold) {
			push(this.#coldWaits, request.className, waitedMs);
			this.#cost += waitedMs / 1000 * this.#deployment.classes[request.className].weight * this.#deployment.policy.coldStartWeight;
		}

		replica.inProgress += 1;
		vm.inProgress += 1;
		this.#ends.push({at: now + request.serviceMs, replica, vm});
	}

	#refuse(now: number): void {
		for (const queue of this.#waiting.values()) {
			for (let index = queue.length - 1; index >= 0; index -= 1) {
				const {request} = queue[index];
				const {deadlineMs, weight} = this.#deployment.classes[request.className];
				if (now - request.at >= deadlineMs) {
					queue.splice(index, 1);
					this.#refused.set(request.className, (this.#refused.get(request.className) ?? 0) + 1);
					this.#cost += deadlineMs / 1000 * weight * this.#deployment.policy.coldStartWeight;
				}
			}
		}
	}

	#decide(now: number): void {
		const view = this.#newView(now);
		this.#arrivals.clear();
		for (const decision of this.#policy.decide(view, now)) {
			if (decision.kind === 'grant') {
				this.#load(this.#vms.find(vm => vm.name === decision.vm)!, decision.unit, now);
			} else {
				this.#revoke(decision.grantId, now);
			}
		}
	}

	#load(vm: Vm, unit: string, now: number): void {
		const isRemote = !vm.cached.has(unit);
		const remote = this.#vms.flatMap(candidate => [...candidate.replicas.values()]).filter(replica => replica.readyAt > now).length;
		const crowd = isRemote ? Math.max(1, (remote + 1) / this.#deployment.policy.concurrentLoads) : 1;
		const isSlow = now > this.#trace.durationMs / 3 && now < this.#trace.durationMs * 2 / 3;
		const msPerGib = isRemote ? REMOTE_MS_PER_GIB * (isSlow ? this.#trace.storeSlowdown : 1) : DISK_MS_PER_GIB;
		const memoryBytes = getMemoryBytes(unit);
		vm.replicas.set(unit, {
			grantId: String(this.#nextGrant), unit, vm: vm.name, memoryBytes, readyAt: now + (memoryBytes / GIB * msPerGib * crowd), isRevoking: false, inProgress: 0, lastUsedAt: now,
		});
		this.#nextGrant += 1;
		this.#loads += 1;
		vm.cached.delete(unit);
		vm.cached.add(unit);
		if (vm.cached.size > CACHE_UNITS) {
			vm.cached.delete([...vm.cached][0]);
		}
	}

	#revoke(grantId: string, now: number): void {
		for (const vm of this.#vms) {
			for (const replica of vm.replicas.values()) {
				if (replica.grantId === grantId) {
					replica.isRevoking = true;
					replica.lastUsedAt = now;
				}
			}
		}
	}

	#newView(now: number): PlacementView {
		const units = new Map<string, PlacementUnit>();
		for (let rank = 0; rank < this.#deployment.models; rank += 1) {
			const key = `m${rank}@v1`;
			units.set(key, this.#newUnit(key, now));
		}

		return {
			units,
			vms: this.#vms.map(vm => ({
				name: vm.name,
				memoryBytes: this.#deployment.memoryGib * GIB,
				isSchedulable: now >= vm.awayUntil,
				isDrained: false,
				inProgress: vm.inProgress,
				capacity: this.#deployment.capacity,
				cached: vm.cached,
				replicas: [...vm.replicas.values()].map(replica => this.#newReplica(replica, now)),
			})),
		};
	}

	#newUnit(key: string, now: number): PlacementUnit {
		const queue = this.#waiting.get(key) ?? [];
		const held = this.#vms.filter(vm => vm.replicas.has(key)).length;
		let waitingWeight = 0;
		let mostRemainingMs = 0;
		for (const {request} of queue) {
			const {weight, deadlineMs} = this.#deployment.classes[request.className];
			waitingWeight += weight;
			mostRemainingMs = Math.max(mostRemainingMs, request.at + deadlineMs - now);
		}

		return {
			key,
			base: '',
			memoryBytes: getMemoryBytes(key),
			freeReplicas: 2 - held,
			minReplicas: 0,
			isStopped: false,
			waiting: queue.length,
			waitingWeight,
			mostRemainingMs,
			arrivals: this.#arrivals.get(key) ?? 0,
		};
	}

	#newReplica(replica: Loaded, now: number): PlacementReplica {
		return {
			grantId: replica.grantId,
			unit: replica.unit,
			vm: replica.vm,
			memoryBytes: replica.memoryBytes,
			isReady: replica.readyAt <= now,
			isRevoking: replica.isRevoking,
			inProgress: replica.inProgress,
			idleMs: replica.inProgress > 0 ? 0 : Math.max(0, now - Math.max(replica.lastUsedAt, replica.readyAt)),
		};
	}

	/** An accelerator counts by the share of its memory that is held. */
	#account(now: number): void {
		for (const vm of this.#vms) {
			for (const replica of vm.replicas.values()) {
				const share = replica.memoryBytes / (this.#deployment.memoryGib * GIB);
				if (replica.readyAt > now) {
					this.#loadingMs += STEP_MS * share;
					this.#cost += STEP_MS / 1000 * share * this.#deployment.policy.idleWeight;
				} else if (replica.inProgress === 0) {
					this.#idleMs += STEP_MS * share;
					this.#cost += STEP_MS / 1000 * share * this.#deployment.policy.idleWeight;
				}
			}
		}
	}
}

/** Replays a trace around a policy. */
export const replayTrace = (deployment: Deployment, trace: Trace, policy: Policy): ReplayResult => new Replay(deployment, trace, policy).run();
