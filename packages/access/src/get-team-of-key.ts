import {hashKey} from './hash-key.js';
import type {KeyTable} from './key-table.js';

/**
 * Returns the name of the team that a key belongs to, or undefined if the key is unknown. The key is looked up by its digest, so that the duration of
 * the lookup does not reveal how much of a guessed key was correct.
 */
export const getTeamOfKey = (table: KeyTable, key: string): string | undefined => table.get(hashKey(key));
