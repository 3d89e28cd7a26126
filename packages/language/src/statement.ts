import type {Command} from '@valelead/intent';
import type {Explain} from './explain.js';
import type {Show} from './show.js';

/** A parsed and validated statement of the operator language. */
export type Statement =
	| Show
	| Explain
	| {readonly kind: 'change'; readonly command: Command};
