import type {OriginRecord} from './origin-record.js';
import type {OriginTable} from './origin-table.js';

/** Returns the recorded origin of a stream; undefined if none is known. */
export const getOrigin = ({records}: OriginTable, key: string): OriginRecord | undefined => records.get(key)?.record;
