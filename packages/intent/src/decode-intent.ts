import {newIntent} from './new-intent.js';
import type {Intent} from './intent.js';

/** Decodes the intent from JSON. Tables that an older software version did not write get their initial content. */
export const decodeIntent = (text: string): Intent => {
	const plain = JSON.parse(text) as Record<string, unknown>;
	const intent = newIntent();
	for (const [name, table] of Object.entries(intent)) {
		if (table instanceof Map && Array.isArray(plain[name])) {
			table.clear();
			for (const [key, value] of plain[name] as Array<[string, never]>) {
				table.set(key, value);
			}
		}
	}

	intent.revision = plain.revision as number;
	return intent;
};
