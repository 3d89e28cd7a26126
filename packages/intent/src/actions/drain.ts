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

/** Drains a VM, a data centre or the VMs of a model: they get no new work. */
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
