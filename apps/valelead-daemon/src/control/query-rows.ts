import {
	type Explain, type Row, type Show, selectRows,
} from '@valelead/language/rows';
import {explainModel} from './explain-model.js';
import {newListing} from './new-listing.js';
import type {Leader} from './leader.js';
import type {Voter} from './voter.js';

/** Returns the rows that answer a show or explain statement. */
export const queryRows = (voter: Voter, leader: Leader, statement: Show | Explain): Row[] => {
	if (statement.kind === 'explain') {
		return explainModel(voter, leader, statement.model);
	}

	return selectRows(newListing(voter, leader, statement.listing), statement);
};
