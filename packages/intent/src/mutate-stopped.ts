import {assertNever} from '@valelead/common';
import {putRecord} from './put-record.js';
import {requirePresent} from './require-present.js';
import type {Draft} from './draft.js';

/** Stops or starts a team, model or service. */
export const mutateStopped = (draft: Draft, target: 'team' | 'model' | 'service', name: string, isStopped: boolean): void => {
	switch (target) {
		case 'team': {
			putRecord(draft, draft.intent.teams, name, {...requirePresent(draft.intent.teams, name, target), isStopped});
			break;
		}

		case 'model': {
			putRecord(draft, draft.intent.models, name, {...requirePresent(draft.intent.models, name, target), isStopped});
			break;
		}

		case 'service': {
			putRecord(draft, draft.intent.services, name, {...requirePresent(draft.intent.services, name, target), isStopped});
			break;
		}

		default: {
			assertNever(target);
		}
	}
};
