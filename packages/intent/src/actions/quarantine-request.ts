import * as Schema from 'effect/Schema';
import {deleteRecord} from '../delete-record.js';
import {NAME} from '../field-schemas.js';
import {newAction} from '../action.js';
import {putRecord} from '../put-record.js';

/**
 * Maximum number of quarantined requests, about 50 KiB of a snapshot. Beyond it, the oldest quarantine is removed, as its request is the least likely
 * to be sent again.
 */
const MAX_QUARANTINES = 512;

const SCHEMA = Schema.Struct({
	kind: Schema.tag('quarantineRequest'),
	name: NAME,
	segments: Schema.optionalKey(Schema.Array(NAME)),
	upstreams: Schema.Array(Schema.String),
	judgedAt: Schema.Finite,
});

/** Quarantines a request, or all requests whose prompts have certain segments. Only the leader issues this command. */
export const quarantineRequest = newAction({
	name: 'quarantineRequest',
	schema: SCHEMA,
	perform(transaction, {name, segments, upstreams, judgedAt}) {
		const {quarantines} = transaction.intent;
		const [oldest] = quarantines.keys();
		if (quarantines.size >= MAX_QUARANTINES && !quarantines.has(name)) {
			deleteRecord(transaction, quarantines, oldest);
		}

		putRecord(transaction, quarantines, name, {
			fingerprint: name, ...(segments && {segments}), upstreams, judgedAt,
		});
	},
});
