import * as Schema from 'effect/Schema';
import {deleteRecord} from '../delete-record.js';
import {NAME} from '../field-schemas.js';
import {newAction} from '../action.js';
import {requirePresent} from '../require-present.js';

const SCHEMA = Schema.Struct({
	kind: Schema.tag('releaseRequest'),
	name: NAME,
});

/** Lifts the quarantine of a request, so that the request is sent to upstreams again. */
export const releaseRequest = newAction({
	name: 'releaseRequest',
	schema: SCHEMA,
	perform(transaction, {name}) {
		requirePresent(transaction.intent.quarantines, name, 'quarantined request');
		deleteRecord(transaction, transaction.intent.quarantines, name);
	},
});
