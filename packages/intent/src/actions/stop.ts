import * as Schema from 'effect/Schema';
import {NAME} from '../field-schemas.js';
import {mutateStopped} from '../mutate-stopped.js';
import {newAction} from '../action.js';

const SCHEMA = Schema.Struct({
	kind: Schema.tag('stop'),
	target: Schema.Literals(['team', 'model', 'service']),
	name: NAME,
});

/** Stops a team, model or service, so that new requests for it are refused. */
export const stop = newAction({
	name: 'stop',
	schema: SCHEMA,
	perform(transaction, command) {
		mutateStopped(transaction, command.target, command.name, true);
	},
});
