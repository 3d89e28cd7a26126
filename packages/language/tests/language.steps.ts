import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {
	type Row, type Show, parseStatements, selectRows, STATEMENT_KINDS,
} from '@valelead/language';

type LanguageWorld = {
	message: string;
	rows: Row[];
};

const EXAMPLE_VALUES: Readonly<Record<string, string>> = {
	memory: 'memory 2GiB',
	replicas: 'replicas 0..2',
	class: 'class c',
	teams: 'teams a, b',
	classes: 'classes c, d',
	version: 'version v2',
	weight: 'weight 2.5',
	deadline: 'deadline 500ms',
	queue: 'queue 10',
	limit: 'limit 10',
	hash: `hash ${'0'.repeat(64)}`,
	repeatable: 'repeatable',
	'read only': 'read only',
};

Then('an example of each type of statement is parsed into its command', () => {
	for (const kind of STATEMENT_KINDS) {
		const owner = kind.owner === '' ? '' : ` of ${kind.owner} o`;
		const attributes = kind.attributes.map(name => name === 'replicas' && kind.object === 'adapter' ? 'replicas 2' : EXAMPLE_VALUES[name] ?? '').join(' ');
		const [statement] = parseStatements(`${kind.verb} ${kind.object} x${owner} ${attributes}`);
		assert.equal(statement.kind, 'change');
		const {command} = statement;
		assert.ok(command.kind.startsWith(kind.verb), command.kind);
		assert.equal((command as {name?: string}).name, 'x');
	}
});

When('{string} is parsed', function (this: LanguageWorld, text: string) {
	try {
		parseStatements(text);
		this.message = 'no error';
	} catch (error) {
		this.message = (error as Error).message;
	}
});

Then('parsing fails at column {int} and the message contains {string}', function (this: LanguageWorld, column: number, expected: string) {
	assert.ok(this.message.includes(`column ${column}:`) && this.message.includes(expected), this.message);
});

When('{string} is evaluated on the rows {string}', function (this: LanguageWorld, text: string, rows: string) {
	const [statement] = parseStatements(text);
	const table = rows.split(', ').map(row => {
		const [name, replicas] = row.split(' ');
		return {name, replicas: Number(replicas)};
	});
	this.rows = selectRows(table, statement as Show);
});

Then('the resulting rows are {string}', function (this: LanguageWorld, names: string) {
	assert.equal(this.rows.map(row => row.name).join(','), names);
});
