import type {Intent} from './intent.js';

/** The intent as JSON. */
export const encodeIntent = (intent: Intent): string => JSON.stringify(intent, (_key, value: unknown) => value instanceof Map ? [...value] : value);
