import {randomUUID} from 'node:crypto';
import {RESULT_CODE, ValeleadError} from '@valelead/common';
import type {Statement} from '@valelead/language';
import {formatRows} from '../format-rows.js';
import {parseWithKeys} from '../parse-with-keys.js';
import {waitUntilInForce} from '../wait-until-in-force.js';
import type {Action} from '../action.js';

type ExecParameters = {
	readonly text: string;
	/** Idempotency key: a command that is sent again with the same id returns its first result. */
	readonly commandId?: string;
	readonly expectedRevision?: number;
	readonly isWaiting: boolean;
};

/** Executes statements: first all changes, in one atomic change, then the queries one by one. */
export const exec: Action<ExecParameters> = {
	name: 'exec',
	async perform({connection, options, print, printProgress}, parameters) {
		const {statements, keys} = parseWithKeys(parameters.text);
		const commands = statements.filter(statement => statement.kind === 'change').map(statement => statement.command);
		const queries = statements.filter((statement): statement is Exclude<Statement, {kind: 'change'}> => statement.kind !== 'change');
		if (commands.length > 0) {
			const revision = await connection.execute(commands, {
				commandId: parameters.commandId ?? randomUUID(),
				isDryRun: false,
				...(parameters.expectedRevision !== undefined && {expectedRevision: parameters.expectedRevision}),
			});
			print(options.output === 'json' ? JSON.stringify({revision, keys}) : `ok, revision ${revision}`);
			for (const {name, key} of options.output === 'json' ? [] : keys) {
				print(`key ${name}: ${key}`);
			}

			if (parameters.isWaiting && !await waitUntilInForce(connection, revision, printProgress)) {
				throw new ValeleadError(`revision ${revision} is accepted but not yet in force everywhere`, {code: RESULT_CODE.CommandTimeout});
			}
		}

		for (const query of queries) {
			const {rows} = await connection.query(query);
			print(formatRows(rows, options.output));
		}
	},
};
