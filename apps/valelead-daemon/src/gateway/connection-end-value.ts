import type {CONNECTION_END} from './connection-end.js';

/** A state of the connection to an upstream after an attempt failed on it. */
export type ConnectionEndValue = (typeof CONNECTION_END)[keyof typeof CONNECTION_END];
