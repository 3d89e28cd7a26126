import * as Schema from 'effect/Schema';
import {
	COUNT, DURATION_MS, NAME, WEIGHT,
} from '../field-schemas.js';
import {requirePresent} from '../require-present.js';
import {putRecord} from '../put-record.js';
import {newAction} from '../action.js';

const SCHEMA = Schema.Struct({
	kind: Schema.tag('alterClass'),
	name: NAME,
	deadlineMs: Schema.optionalKey(DURATION_MS),
	weight: Schema.optionalKey(WEIGHT),
	maxWaiting: Schema.optionalKey(COUNT),
});

/** Changes a request class. Fields that the command omits keep their values. */
export const alterClass = newAction({
	name: 'alterClass',
	schema: SCHEMA,
	perform(transaction, command) {
		const {kind, ...fields} = command;
		const requestClass = requirePresent(transaction.intent.classes, command.name, 'class');
		putRecord(transaction, transaction.intent.classes, command.name, {...requestClass, ...fields});
	},
});
