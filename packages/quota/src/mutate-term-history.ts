import {LOAN_MS} from './loan-ms.js';
import type {TermSighting} from './term-sighting.js';

/** Adds a term to the terms that a voter knows of, if it is new, and removes those that had ended when the oldest valid loan was granted. */
export const mutateTermHistory = (history: TermSighting[], term: number, now: number): void => {
	if (term > (history.at(-1)?.term ?? Number.NEGATIVE_INFINITY)) {
		history.push({term, at: now});
	}

	while (history.length > 1 && now - history[1].at >= LOAN_MS) {
		history.shift();
	}
};
