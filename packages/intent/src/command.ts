import type {COMMAND_SCHEMA} from './command-schema.js';

/** A command that changes the intent, as an operator, an agent or the leader proposes it. */
export type Command = (typeof COMMAND_SCHEMA)['Type'];
