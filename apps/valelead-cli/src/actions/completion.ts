import {LISTINGS, STATEMENT_KINDS} from '@valelead/language';
import type {Action} from '../action.js';

/** Prints a completion script for Bash. */
export const completion: Pick<Action<undefined>, 'name'> & {readonly perform: (print: (text: string) => void) => void} = {
	name: 'completion',
	perform(print) {
		const verbs = [...new Set(STATEMENT_KINDS.map(kind => kind.verb)), 'show', 'explain'];
		const objects = [...new Set(STATEMENT_KINDS.map(kind => kind.object)), ...LISTINGS];
		print([
			'_valelead() {',
			'\tlocal word="${COMP_WORDS[COMP_CWORD]}"', // eslint-disable-line no-template-curly-in-string
			`\tlocal words="exec repl apply completion ${verbs.join(' ')} ${objects.join(' ')}"`,
			'\tCOMPREPLY=($(compgen -W "$words" -- "$word"))',
			'}',
			'complete -F _valelead valelead',
		].join('\n'));
	},
};
