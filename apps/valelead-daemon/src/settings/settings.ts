import type {SETTINGS_SCHEMA} from './settings-schema.js';

/** The settings of a daemon. */
export type Settings = (typeof SETTINGS_SCHEMA)['Type'];
