// Listings without the parser, for processes that parse nothing.
export {selectRows} from './select-rows.js';
export type {Statement} from './statement.js';
export type {Show} from './show.js';
export type {Explain} from './explain.js';
export type {Row} from './row.js';
