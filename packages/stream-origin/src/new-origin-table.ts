import type {OriginTable} from './origin-table.js';

/** Creates an empty table. */
export const newOriginTable = (): OriginTable => ({records: new Map()});
