import type {EntrySettings} from './entry-settings.js';

/** The settings of the voter that runs in an entry. */
export type VoterSettings = NonNullable<EntrySettings['voter']>;
