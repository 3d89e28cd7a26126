import type {CONNECTION_STATE} from './connection-state.js';

/** A state of the connection to an upstream after an attempt failed on it. */
export type ConnectionStateValue = (typeof CONNECTION_STATE)[keyof typeof CONNECTION_STATE];
