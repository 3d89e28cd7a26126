import type {DirectoryCopy} from './directory-copy.js';

/** Creates an empty copy of the directory. */
export const newDirectoryCopy = (): DirectoryCopy => ({epoch: '', version: 0, upstreams: new Map()});
