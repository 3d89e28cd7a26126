import process from 'node:process';
import {createInterface} from 'node:readline/promises';
import {LISTINGS, STATEMENT_KINDS} from '@valelead/language';
import {formatError} from '../format-error.js';
import type {Action} from '../action.js';
import {exec} from './exec.js';

const STATEMENT_PREFIXES = [
	...STATEMENT_KINDS.map(kind => `${kind.verb} ${kind.object} `),
	...LISTINGS.map(listing => `show ${listing}`),
	'explain model ',
];

const completeStatement = (line: string): [string[], string] => [STATEMENT_PREFIXES.filter(start => start.startsWith(line)), line];

/** Reads and executes statements line by line. An error is printed and does not end the session. */
export const repl: Action<undefined> = {
	name: 'repl',
	async perform(context) {
		const lines = createInterface({
			input: process.stdin, output: process.stdout, prompt: 'valelead> ', completer: completeStatement,
		});
		lines.prompt();
		for await (const line of lines) {
			if (line.trim() === 'exit') {
				break;
			}

			try {
				await exec.perform(context, {text: line, isWaiting: false});
			} catch (error) {
				context.print(formatError(error));
			}

			lines.prompt();
		}
	},
};
