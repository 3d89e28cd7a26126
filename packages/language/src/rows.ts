// Entry point without the parser, for processes that filter listings but parse no statements.
export {selectRows} from './select-rows.js';
export type {Statement} from './statement.js';
export type {Show} from './show.js';
export type {Explain} from './explain.js';
export type {Row} from './row.js';
