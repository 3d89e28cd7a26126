import {RESULT_CODE, ValeleadError} from '@valelead/common';
import {getCommittedBytes} from './get-committed-bytes.js';
import type {Intent} from './intent.js';
import type {Unit} from './unit.js';
import type {Vm} from './vm.js';

const requireThat = (condition: boolean, message: string): void => {
	if (!condition) {
		throw new ValeleadError(message, {code: RESULT_CODE.InvalidCommand});
	}
};

/**
 * Throws a ValeleadError if a VM cannot be granted a replica of a unit: the replica limit is reached, the VM lacks memory or already has the unit, or
 * the model that an adapter needs is not granted to the VM.
 */
export const requireCapacity = (intent: Intent, unit: Unit, vm: Vm): void => {
	const grantIds = intent.grantsByOwner.get(unit.owner) ?? [];
	requireThat(grantIds.length < unit.maxReplicas, `${unit.owner} has its ${unit.maxReplicas} replicas`);
	requireThat(getCommittedBytes(intent, vm.name) + unit.memoryBytes <= vm.memoryBytes, `VM ${vm.name} has no room for ${unit.key}`);
	const onVm = (intent.grantsByVm.get(vm.name) ?? []).map(grantId => intent.grants.get(grantId)!);
	requireThat(onVm.every(grant => grant.unit !== unit.key), `VM ${vm.name} has ${unit.key}`);
	const hasBase = unit.base === '' || onVm.some(grant => grant.unit === unit.base && !grant.isRevoking);
	requireThat(hasBase, `VM ${vm.name} lacks ${unit.base}`);
};
