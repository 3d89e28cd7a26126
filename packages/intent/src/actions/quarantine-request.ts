import * as Schema from 'effect/Schema';
import {deleteRecord} from '../delete-record.js';
import {NAME} from '../field-schemas.js';
import {newAction} from '../action.js';
import {putRecord} from '../put-record.js';

/** Requests that are quarantined at once; the one judged first makes way, as the least likely to come again. Some 50 KiB of a snapshot. */
const MAX_QUARANTINES = 512;

const SCHEMA = Schema.Struct({
	kind: Schema.tag('quarantineRequest'),
	name: NAME,
	upstreams: Schema.Array(Schema.String),
	judgedAt: Schema.Finite,
});

/** Keeps a request from all upstreams. Given by the leader alone. */
export const quarantineRequest = newAction({
	name: 'quarantineRequest',
	schema: SCHEMA,
	perform(transaction, {name, upstreams, judgedAt}) {
		const {quarantines} = transaction.intent;
		const [oldest] = quarantines.keys();
		if (quarantines.size >= MAX_QUARANTINES && !quarantines.has(name)) {
			deleteRecord(transaction, quarantines, oldest);
		}

		putRecord(transaction, quarantines, name, {fingerprint: name, upstreams, judgedAt});
	},
});
