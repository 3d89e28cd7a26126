import * as Schema from 'effect/Schema';
import {RESULT_CODE, ValeleadError} from '@valelead/common';
import {BYTES, INCARNATION, NAME} from '../field-schemas.js';
import {putRecord} from '../put-record.js';
import {isOlderIncarnation} from '../is-older-incarnation.js';
import {newAction} from '../action.js';

const SCHEMA = Schema.Struct({
	kind: Schema.tag('registerVm'),
	name: NAME,
	dataCentre: Schema.String,
	address: Schema.String,
	incarnation: INCARNATION,
	upstreamIncarnation: Schema.String,
	memoryBytes: BYTES,
	service: Schema.String,
});

/**
 * Registers a VM and the agent that manages it. The VM's grants stay even if its upstream has restarted: an order may have reached the new process,
 * so only the status that the agent reads from it shows what is loaded.
 */
export const registerVm = newAction({
	name: 'registerVm',
	schema: SCHEMA,
	perform(transaction, command) {
		const {kind, ...fields} = command;
		const known = transaction.intent.vms.get(command.name);
		if (known && isOlderIncarnation(command.incarnation, known.incarnation)) {
			throw new ValeleadError(`VM ${command.name} is held by a newer agent`, {code: RESULT_CODE.VmAlreadyHeld});
		}

		putRecord(transaction, transaction.intent.vms, command.name, {...fields, isDrained: known?.isDrained ?? false});
	},
});
