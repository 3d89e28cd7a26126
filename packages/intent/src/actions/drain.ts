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
	perform(draft, command) {
		if (command.target === 'dataCentre') {
			putRecord(draft, draft.intent.drainedDataCentres, command.name, command.name);
			return;
		}

		const vm = requirePresent(draft.intent.vms, command.name, 'VM');
		putRecord(draft, draft.intent.vms, command.name, {...vm, isDrained: true});
	},
});
