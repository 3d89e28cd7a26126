import {
	type Intent, type Unit, getUnit, isDrained,
} from '@valelead/intent';
import {
	type Fleet, type MembershipSettings, type UnitDemand, type UnitReport, getDemands, isVmLive,
} from '@valelead/membership';
import type {
	PlacementReplica, PlacementState, PlacementUnit, PlacementView, PlacementVm,
} from '@valelead/placement';

type ViewParts = {
	readonly intent: Intent;
	readonly fleet: Fleet;
	readonly membership: MembershipSettings;
	readonly state: PlacementState;
	/** Number of requests that arrived since the last placement decision, by unit. */
	readonly arrivals: ReadonlyMap<string, number>;
	readonly now: number;
};

const NO_DEMAND = {
	waiting: 0, weight: 0, mostRemainingMs: 0, arrivals: 0, inProgress: 0,
};

const newReplicas = (parts: ViewParts, vm: string, reports: ReadonlyMap<string, UnitReport>): PlacementReplica[] => {
	const replicas: PlacementReplica[] = [];
	for (const grantId of parts.intent.grantsByVm.get(vm) ?? []) {
		const grant = parts.intent.grants.get(grantId)!;
		const report = reports.get(grant.unit);
		replicas.push({
			grantId,
			unit: grant.unit,
			vm,
			memoryBytes: grant.memoryBytes,
			isReady: report?.state === 'ready',
			isRevoking: grant.isRevoking,
			inProgress: report?.inProgress ?? 0,
			idleMs: report?.idleMs ?? 0,
		});
	}

	return replicas;
};

const newVm = (parts: ViewParts, name: string): PlacementVm => {
	const {intent, fleet, membership, now} = parts;
	const vm = intent.vms.get(name)!;
	const report = fleet.vms.get(name)?.report;
	const isVmDrained = isDrained(intent, name);
	const isReporting = report?.incarnation === vm.incarnation && isVmLive(fleet, membership, name, now);
	return {
		name,
		memoryBytes: vm.memoryBytes,
		isSchedulable: isReporting && !isVmDrained && !report.isLeaving && vm.service === '',
		isDrained: isVmDrained || (report?.isLeaving ?? false),
		inProgress: report?.inProgress ?? 0,
		capacity: report?.capacity ?? 1,
		cached: new Set(report?.cached),
		replicas: newReplicas(parts, name, new Map(report?.units.map(unit => [unit.unit, unit]))),
	};
};

const newUnit = (parts: ViewParts, unit: Unit, demand: Omit<UnitDemand, 'unit'>): PlacementUnit => ({
	key: unit.key,
	base: unit.base,
	memoryBytes: unit.memoryBytes,
	freeReplicas: unit.maxReplicas - (parts.intent.grantsByOwner.get(unit.owner)?.length ?? 0),
	minReplicas: unit.minReplicas,
	isStopped: unit.isStopped,
	waiting: demand.waiting,
	waitingWeight: demand.weight,
	mostRemainingMs: demand.mostRemainingMs,
	arrivals: parts.arrivals.get(unit.key) ?? 0,
});

/** Adds the demand for an adapter to its base model, as the adapter cannot be loaded without the model. */
const addBaseDemand = (units: Map<string, PlacementUnit>, parts: ViewParts, adapter: PlacementUnit): void => {
	const unit = getUnit(parts.intent, adapter.base);
	if (!unit) {
		return;
	}

	const base = units.get(unit.key) ?? newUnit(parts, unit, NO_DEMAND);
	units.set(unit.key, {
		...base,
		waiting: base.waiting + adapter.waiting,
		waitingWeight: base.waitingWeight + adapter.waitingWeight,
		mostRemainingMs: Math.max(base.mostRemainingMs, adapter.mostRemainingMs),
		arrivals: base.arrivals + adapter.arrivals,
	});
};

const getUnitKeys = (parts: ViewParts, demands: ReadonlyMap<string, UnitDemand>): Set<string> => {
	const keys = new Set([...demands.keys(), ...parts.arrivals.keys(), ...parts.state.histories.keys()]);
	for (const grant of parts.intent.grants.values()) {
		keys.add(grant.unit);
	}

	for (const model of parts.intent.models.values()) {
		if (model.minReplicas > 0) {
			keys.add(`${model.name}@${model.version}`);
		}
	}

	return keys;
};

/** Combines the replicated intent with the reports of VMs and entries into the input for placement decisions. */
export const newPlacementView = (parts: ViewParts): PlacementView => {
	const demands = getDemands(parts.fleet);
	const units = new Map<string, PlacementUnit>();
	for (const key of getUnitKeys(parts, demands)) {
		const unit = getUnit(parts.intent, key);
		if (unit) {
			units.set(key, newUnit(parts, unit, demands.get(key) ?? NO_DEMAND));
		}
	}

	for (const unit of units.values()) {
		if (unit.base !== '' && (unit.waiting > 0 || unit.arrivals > 0)) {
			addBaseDemand(units, parts, unit);
		}
	}

	return {units, vms: [...parts.intent.vms.keys()].map(name => newVm(parts, name))};
};
