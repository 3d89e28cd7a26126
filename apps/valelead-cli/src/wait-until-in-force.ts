import {SYSTEM_CLOCK} from '@valelead/common';
import type {Connection} from './connection.js';

const POLL_MS = 50;
const MAX_WAIT_MS = 15_000;

/**
 * Waits until all live entries have applied a revision, and prints a line whenever their number changes.
 * Returns false if some have not applied it within the time limit.
 */
export const waitUntilInForce = async (connection: Connection, revision: number, printProgress: (text: string) => void): Promise<boolean> => {
	const endsAt = SYSTEM_CLOCK.now() + MAX_WAIT_MS;
	let printedCount = -1;
	while (SYSTEM_CLOCK.now() < endsAt) {
		const {rows} = await connection.query({
			kind: 'show', listing: 'entries', conditions: [], order: [],
		});
		const appliedCount = rows.filter(row => Number(row.revision) >= revision).length;
		if (appliedCount !== printedCount) {
			printProgress(`revision ${revision} in force at ${appliedCount} of ${rows.length} entries`);
			printedCount = appliedCount;
		}

		if (rows.length > 0 && appliedCount === rows.length) {
			return true;
		}

		await connection.timers.wait(POLL_MS);
	}

	return false;
};
