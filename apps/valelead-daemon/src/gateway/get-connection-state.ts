import {CONNECTION_STATE} from './connection-state.js';
import type {ConnectionStateValue} from './connection-state-value.js';

/** Error codes of Node.js for a connection that the other side closed or reset. */
const BROKEN_CODES: ReadonlySet<string | undefined> = new Set(['ECONNRESET', 'EPIPE']);

/** Returns the state of a connection to an upstream after an error of Node.js on it. */
export const getConnectionState = (error: NodeJS.ErrnoException): ConnectionStateValue => {
	if (error.code === 'ECONNREFUSED') {
		return CONNECTION_STATE.Refused;
	}

	return BROKEN_CODES.has(error.code) ? CONNECTION_STATE.Broken : CONNECTION_STATE.Intact;
};
