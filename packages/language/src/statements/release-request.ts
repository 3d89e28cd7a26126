import type {StatementKind} from '../statement-kind.js';

/** The `release request` statement: releases a request from quarantine. */
export const releaseRequest: StatementKind = {
	verb: 'release',
	object: 'request',
	owner: '',
	attributes: [],
	newCommand: ({name}) => ({kind: 'releaseRequest', name}),
};
