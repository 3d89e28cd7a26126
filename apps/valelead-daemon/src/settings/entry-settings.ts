import type {Settings} from './settings.js';

/** The settings of an entry. */
export type EntrySettings = Extract<Settings, {role: 'entry'}>;
