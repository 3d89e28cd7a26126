import type {DirectoryCopy} from './directory-copy.js';

/** A copy that holds nothing yet. */
export const newDirectoryCopy = (): DirectoryCopy => ({epoch: '', version: 0, upstreams: new Map()});
