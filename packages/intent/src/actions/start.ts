import * as Schema from 'effect/Schema';
import {NAME} from '../field-schemas.js';
import {mutateStopped} from '../mutate-stopped.js';
import {newAction} from '../action.js';

const SCHEMA = Schema.Struct({
	kind: Schema.tag('start'),
	target: Schema.Literals(['team', 'model', 'service']),
	name: NAME,
});

/** Starts a stopped team, model or service again, so that new requests are accepted. */
export const start = newAction({
	name: 'start',
	schema: SCHEMA,
	perform(transaction, command) {
		mutateStopped(transaction, command.target, command.name, false);
	},
});
