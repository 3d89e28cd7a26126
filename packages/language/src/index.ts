export {parseStatements} from './parse-statements.js';
export {selectRows} from './select-rows.js';
export {LISTINGS} from './listings.js';
export {STATEMENT_KINDS} from './statement-kinds.js';
export type {Statement} from './statement.js';
export type {Show} from './show.js';
export type {Explain} from './explain.js';
export type {Row} from './row.js';
