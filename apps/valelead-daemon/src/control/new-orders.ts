import {create} from '@bufbuild/protobuf';
import {type Intent, getUnit, isDrained} from '@valelead/intent';
import {type Orders, OrdersSchema} from '@valelead/protocol';

/** What the leader wants of one VM. */
export const newOrders = (intent: Intent, vm: string): Orders => create(OrdersSchema, {
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
