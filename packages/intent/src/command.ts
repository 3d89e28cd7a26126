import type {COMMAND_SCHEMA} from './command-schema.js';

/** A command that changes the intent. */
export type Command = (typeof COMMAND_SCHEMA)['Type'];
