import type {VersionHistory} from './version-history.js';

/** Creates an empty history. */
export const newVersionHistory = (): VersionHistory => ({leftAt: new Map()});
