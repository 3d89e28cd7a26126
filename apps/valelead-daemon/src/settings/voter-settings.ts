import type {EntrySettings} from './entry-settings.js';

/** The settings of an entry's voter. */
export type VoterSettings = NonNullable<EntrySettings['voter']>;
