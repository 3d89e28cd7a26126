import {RESULT_CODE, SYSTEM_CLOCK, ValeleadError} from '@valelead/common';
import {
	type Intent, type Unit, type Vm, getCommittedBytes, getUnit, getUnitKey, isDrained,
} from '@valelead/intent';
import {isVmLive} from '@valelead/membership';
import type {Row} from '@valelead/language/rows';
import type {Leader} from './leader.js';
import type {Voter} from './voter.js';

const getVmReason = (intent: Intent, leader: Leader, unit: Unit, vm: Vm): string => {
	const grant = (intent.grantsByVm.get(vm.name) ?? []).map(grantId => intent.grants.get(grantId)!).find(candidate => candidate.unit === unit.key);
	if (grant) {
		const state = leader.fleet.vms.get(vm.name)?.report.units.find(candidate => candidate.unit === unit.key)?.state;
		return `granted at revision ${grant.fence}${grant.isRevoking ? ', being given up' : ''}; the engine reports ${state ?? 'nothing'}`;
	}

	if (vm.service !== '') {
		return 'the VM offers a service, not an engine';
	}

	if (!isVmLive(leader.fleet, leader.membership, vm.name, SYSTEM_CLOCK.now())) {
		return 'the lease of the VM has ended';
	}

	if (isDrained(intent, vm.name)) {
		return 'the VM is drained';
	}

	const freeBytes = vm.memoryBytes - getCommittedBytes(intent, vm.name);
	return freeBytes >= unit.memoryBytes ? 'not granted; there is room' : `not granted; ${unit.memoryBytes - freeBytes} bytes short`;
};

const getModelReason = (intent: Intent, unit: Unit): string => {
	if (unit.isStopped) {
		return 'stopped by an operator';
	}

	const held = intent.grantsByOwner.get(unit.owner)?.length ?? 0;
	return held >= unit.maxReplicas ? `all ${unit.maxReplicas} replicas are granted` : `${held} of at most ${unit.maxReplicas} replicas are granted`;
};

/**
 * Returns rows that explain for each VM why a model, adapter or version is or is not loaded there.
 * @throws ValeleadError with NotFound if there is no such model.
 */
export const explainModel = (voter: Voter, leader: Leader, name: string): Row[] => {
	const {intent} = voter.machine;
	const key = getUnitKey(intent, name);
	const unit = key === undefined ? undefined : getUnit(intent, key);
	if (!unit) {
		throw new ValeleadError(`there is no model ${name}`, {code: RESULT_CODE.NotFound});
	}

	const vms = [...intent.vms.values()].map(vm => ({unit: unit.key, vm: vm.name, reason: getVmReason(intent, leader, unit, vm)}));
	return [{unit: unit.key, vm: '', reason: getModelReason(intent, unit)}, ...vms];
};
