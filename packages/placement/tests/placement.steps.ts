import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
	type PlacementDecision, type PlacementReplica, type PlacementState, type PlacementUnit, type PlacementVm, type PolicySettings, decidePlacement, getKeepLoadedMs, newPlacementState,
} from '@valelead/placement';

type PlacementWorld = {
	vms: PlacementVm[];
	units: Map<string, PlacementUnit>;
	state: PlacementState;
	decisions: PlacementDecision[];
};

const GIB = 2 ** 30;
const ROUND_MS = 50;
const DISTANT_DEADLINE_MS = 60_000;
const POLICY: PolicySettings = {
	coldStartWeight: 1, idleWeight: 0.01, loadsPerSecond: 3, concurrentLoads: 4, assumedLoadMsPerGib: 500,
};

const newUnit = (index: number, memoryGib: number): PlacementUnit => ({
	key: `m${index}@v1`, base: '', memoryBytes: memoryGib * GIB, freeReplicas: 1, minReplicas: 0, isStopped: false, waiting: 0, waitingWeight: 0, mostRemainingMs: 0, arrivals: 0,
});

const newReplica = (unit: string, vm: string, memoryBytes: number, isReady: boolean): PlacementReplica => ({
	grantId: `${unit}/${vm}`, unit, vm, memoryBytes, isReady, isRevoking: false, inProgress: 0, idleMs: 0,
});

const mutateWaiting = (world: PlacementWorld, index: number, waiting: number, weight: number, remainingMs: number): void => {
	const unit = world.units.get(`m${index}@v1`)!;
	world.units.set(unit.key, {
		...unit, waiting, waitingWeight: waiting * weight, mostRemainingMs: remainingMs, arrivals: waiting,
	});
};

/** Decides one round and adds the granted replicas to the VMs, so that the next round sees them as loading. */
const decide = (world: PlacementWorld, now: number): void => {
	const decisions = decidePlacement(world.state, POLICY, {units: world.units, vms: world.vms}, now);
	world.decisions.push(...decisions);
	for (const decision of decisions) {
		if (decision.kind === 'grant') {
			const {memoryBytes} = world.units.get(decision.unit)!;
			world.vms = world.vms.map(vm => vm.name === decision.vm ? {...vm, replicas: [...vm.replicas, newReplica(decision.unit, vm.name, memoryBytes, false)]} : vm);
		}
	}
};

const getGrants = (world: PlacementWorld): string[] => world.decisions.filter(decision => decision.kind === 'grant').map(decision => decision.unit);

Given('{int} VM(s) of {int} GiB and {int} cold model(s) of {int} GiB', function (this: PlacementWorld, vms: number, memoryGib: number, models: number, modelGib: number) {
	this.vms = Array.from({length: vms}, (_, index) => ({
		name: `vm-${index}`, memoryBytes: memoryGib * GIB, isSchedulable: true, isDrained: false, inProgress: 0, capacity: 4, cached: new Set<string>(), replicas: [],
	}));
	this.units = new Map(Array.from({length: models}, (_, index) => [`m${index}@v1`, newUnit(index, modelGib)]));
	this.state = newPlacementState(POLICY, 0);
	this.decisions = [];
});

When('{int} requests wait for model {int} during {int} rounds', function (this: PlacementWorld, waiting: number, model: number, rounds: number) {
	mutateWaiting(this, model, waiting, 1, DISTANT_DEADLINE_MS);
	for (let round = 1; round <= rounds; round += 1) {
		decide(this, round * ROUND_MS);
	}
});

When('{int} requests wait for every model during {int} rounds', function (this: PlacementWorld, waiting: number, rounds: number) {
	for (const index of [...this.units.keys()].keys()) {
		mutateWaiting(this, index, waiting, 1, DISTANT_DEADLINE_MS);
	}

	for (let round = 1; round <= rounds; round += 1) {
		decide(this, round * 1000);
	}
});

When('{int} request(s) of weight {int} wait(s) for model {int}', function (this: PlacementWorld, waiting: number, weight: number, model: number) {
	mutateWaiting(this, model, waiting, weight, DISTANT_DEADLINE_MS);
});

When('one round of placement is decided', function (this: PlacementWorld) {
	decide(this, 1000);
});

When('model {int} is loaded and requests wait for it and for model {int}', function (this: PlacementWorld, loaded: number, wanted: number) {
	const {key, memoryBytes} = this.units.get(`m${loaded}@v1`)!;
	this.vms = this.vms.map(vm => ({...vm, replicas: [newReplica(key, vm.name, memoryBytes, true)]}));
	mutateWaiting(this, loaded, 1, 1, DISTANT_DEADLINE_MS);
	mutateWaiting(this, wanted, 9, 9, DISTANT_DEADLINE_MS);
	decide(this, 1000);
});

When('{int} requests wait for model {int} that have {int} ms left', function (this: PlacementWorld, waiting: number, model: number, remainingMs: number) {
	mutateWaiting(this, model, waiting, 1, remainingMs);
	decide(this, 1000);
});

Then('{int} load(s) is/are ordered', function (this: PlacementWorld, count: number) {
	assert.equal(getGrants(this).length, count);
});

Then('no load is ordered', function (this: PlacementWorld) {
	assert.deepEqual(getGrants(this), []);
});

Then('at most {int} loads run at once', function (this: PlacementWorld, count: number) {
	assert.equal(getGrants(this).length, count);
});

Then('model {int} is granted first', function (this: PlacementWorld, model: number) {
	assert.equal(getGrants(this)[0], `m${model}@v1`);
});

Then('nothing is revoked', function (this: PlacementWorld) {
	assert.deepEqual(this.decisions.filter(decision => decision.kind === 'revoke'), []);
});

const HISTORY = {
	lastArrivalAt: 0, wasPrewarmed: false, burstSize: 1, requestWeight: 1, gaps: [10_000, 20_000, 40_000, 80_000, 160_000],
};

Then('a higher cost of cold starts keeps models loaded for longer', () => {
	const low = getKeepLoadedMs(HISTORY, {idleCostPerMs: 0.05, coldStartCost: 1000});
	const high = getKeepLoadedMs(HISTORY, {idleCostPerMs: 0.05, coldStartCost: 10_000});
	assert.ok(high > low, `${high} is not more than ${low}`);
});

Then('a higher cost of idle accelerators keeps models loaded for less time', () => {
	const low = getKeepLoadedMs(HISTORY, {idleCostPerMs: 0.05, coldStartCost: 5000});
	const high = getKeepLoadedMs(HISTORY, {idleCostPerMs: 0.5, coldStartCost: 5000});
	assert.ok(high < low, `${high} is not less than ${low}`);
});
