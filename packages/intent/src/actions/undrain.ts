import * as Schema from 'effect/Schema';
import {NAME} from '../field-schemas.js';
import {deleteRecord} from '../delete-record.js';
import {requirePresent} from '../require-present.js';
import {putRecord} from '../put-record.js';
import {newAction} from '../action.js';

const SCHEMA = Schema.Struct({
	kind: Schema.tag('undrain'),
	target: Schema.Literals(['vm', 'upstream', 'dataCentre']),
	name: NAME,
});

/** Ends the drain of a VM, the upstream on a VM, or a data centre. */
export const undrain = newAction({
	name: 'undrain',
	schema: SCHEMA,
	perform(transaction, command) {
		if (command.target === 'dataCentre') {
			requirePresent(transaction.intent.drainedDataCentres, command.name, 'drained data centre');
			deleteRecord(transaction, transaction.intent.drainedDataCentres, command.name);
			return;
		}

		const vm = requirePresent(transaction.intent.vms, command.name, 'VM');
		putRecord(transaction, transaction.intent.vms, command.name, {...vm, isDrained: false});
	},
});
