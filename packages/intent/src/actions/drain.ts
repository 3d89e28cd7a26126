import * as Schema from 'effect/Schema';
import {NAME} from '../field-schemas.js';
import {requirePresent} from '../require-present.js';
import {putRecord} from '../put-record.js';
import {newAction} from '../action.js';

const SCHEMA = Schema.Struct({
	kind: Schema.tag('drain'),
	target: Schema.Literals(['vm', 'upstream', 'dataCentre']),
	name: NAME,
});

/** Drains a VM, the upstream on a VM, or all VMs of a data centre: they get no new work, and their replicas are revoked. */
export const drain = newAction({
	name: 'drain',
	schema: SCHEMA,
	perform(transaction, command) {
		if (command.target === 'dataCentre') {
			putRecord(transaction, transaction.intent.drainedDataCentres, command.name, command.name);
			return;
		}

		const vm = requirePresent(transaction.intent.vms, command.name, 'VM');
		putRecord(transaction, transaction.intent.vms, command.name, {...vm, isDrained: true});
	},
});
