import {type Intent, getUnit, isDrained} from '@valelead/intent';
import type {VmOrders} from './vm-orders.js';

/** Returns the target state of one VM. It may be sent only to the run of the agent that is registered. */
export const getVmOrders = (intent: Intent, vm: string): VmOrders => ({
	revision: intent.revision,
	isDrained: isDrained(intent, vm),
	grants: (intent.grantsByVm.get(vm) ?? []).map(grantId => {
		const grant = intent.grants.get(grantId)!;
		return {
			id: grant.id,
			unit: grant.unit,
			base: getUnit(intent, grant.unit)?.base ?? '',
			memoryBytes: grant.memoryBytes,
			fence: grant.fence,
			isRevoking: grant.isRevoking,
		};
	}),
});
