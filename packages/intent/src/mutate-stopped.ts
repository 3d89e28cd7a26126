import {assertNever} from '@valelead/common';
import {putRecord} from './put-record.js';
import {requirePresent} from './require-present.js';
import type {Transaction} from './transaction.js';

/** Sets whether a team, model or service is stopped. Throws a ValeleadError if the target does not exist. */
export const mutateStopped = (transaction: Transaction, target: 'team' | 'model' | 'service', name: string, isStopped: boolean): void => {
	switch (target) {
		case 'team': {
			putRecord(transaction, transaction.intent.teams, name, {...requirePresent(transaction.intent.teams, name, target), isStopped});
			break;
		}

		case 'model': {
			putRecord(transaction, transaction.intent.models, name, {...requirePresent(transaction.intent.models, name, target), isStopped});
			break;
		}

		case 'service': {
			putRecord(transaction, transaction.intent.services, name, {...requirePresent(transaction.intent.services, name, target), isStopped});
			break;
		}

		default: {
			assertNever(target);
		}
	}
};
