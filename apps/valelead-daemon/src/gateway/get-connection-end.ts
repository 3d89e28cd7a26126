import {CONNECTION_END} from './connection-end.js';
import type {ConnectionEndValue} from './connection-end-value.js';

/** Error codes of Node.js for a connection that the other side closed or reset. */
const BROKEN_CODES: ReadonlySet<string | undefined> = new Set(['ECONNRESET', 'EPIPE']);

/** Returns the state of a connection to an upstream after an error of Node.js on it. */
export const getConnectionEnd = (error: NodeJS.ErrnoException): ConnectionEndValue => {
	if (error.code === 'ECONNREFUSED') {
		return CONNECTION_END.Refused;
	}

	return BROKEN_CODES.has(error.code) ? CONNECTION_END.Broken : CONNECTION_END.Intact;
};
