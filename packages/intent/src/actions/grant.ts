import * as Schema from 'effect/Schema';
import {RESULT_CODE, ValeleadError} from '@valelead/common';
import {NAME} from '../field-schemas.js';
import {requirePresent} from '../require-present.js';
import {getUnit} from '../get-unit.js';
import {putGrant} from '../put-grant.js';
import {requireCapacity} from '../require-capacity.js';
import {newAction} from '../action.js';

const SCHEMA = Schema.Struct({
	kind: Schema.tag('grant'),
	unit: Schema.String,
	vm: NAME,
});

/** Grants a replica of a unit to a VM. This is the only place that creates grants, so that replica limits and memory are never exceeded. */
export const grant = newAction({
	name: 'grant',
	schema: SCHEMA,
	perform(transaction, command) {
		const unit = getUnit(transaction.intent, command.unit);
		if (!unit) {
			throw new ValeleadError(`there is no unit ${command.unit}`, {code: RESULT_CODE.NotFound});
		}

		const vm = requirePresent(transaction.intent.vms, command.vm, 'VM');
		requireCapacity(transaction.intent, unit, vm);
		putGrant(transaction, {
			id: `${command.unit}/${command.vm}/${transaction.revision}`,
			unit: unit.key,
			owner: unit.owner,
			vm: vm.name,
			memoryBytes: unit.memoryBytes,
			fence: transaction.revision,
			isRevoking: false,
		});
	},
});
