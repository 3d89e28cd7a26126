import * as Schema from 'effect/Schema';
import {
	COUNT, DURATION_MS, NAME, WEIGHT,
} from '../field-schemas.js';
import {requireAbsent} from '../require-absent.js';
import {putRecord} from '../put-record.js';
import {newRequestClass} from '../new-request-class.js';
import {newAction} from '../action.js';

const SCHEMA = Schema.Struct({
	kind: Schema.tag('createClass'),
	name: NAME,
	deadlineMs: Schema.optionalKey(DURATION_MS),
	weight: Schema.optionalKey(WEIGHT),
	maxWaiting: Schema.optionalKey(COUNT),
});

/** Creates a request class; omitted fields get default values. */
export const createClass = newAction({
	name: 'createClass',
	schema: SCHEMA,
	perform(transaction, command) {
		const {kind, ...fields} = command;
		requireAbsent(transaction.intent.classes, command.name, 'class');
		putRecord(transaction, transaction.intent.classes, command.name, {...newRequestClass(command.name), ...fields});
	},
});
