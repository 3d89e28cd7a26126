import type {Intent} from './intent.js';

/** Encodes the intent as JSON; each map becomes an array of its entries. */
export const encodeIntent = (intent: Intent): string => JSON.stringify(intent, (_key, value: unknown) => value instanceof Map ? [...value] : value);
