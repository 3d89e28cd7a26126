import assert from 'node:assert/strict';
import {readFileSync, readdirSync} from 'node:fs';
import {Then, When} from '@cucumber/cucumber';
import {RESULT_CODE, RESULT_DETAILS} from '@valelead/common';
import {checkSettings} from 'valelead-daemon';

type SettingsWorld = {
	faults: ReturnType<typeof checkSettings>['faults'];
};

type Tree = Record<string, unknown>;

const ENTRY_EXAMPLE = 'examples/ferroandina/entry-1.json';

const readExample = (file: string): Tree => JSON.parse(readFileSync(file, 'utf8')) as Tree;

const mutatePath = (tree: Tree, path: readonly string[], value: unknown): void => {
	const [key, ...rest] = path;
	if (rest.length === 0) {
		tree[key] = value;
		return;
	}

	mutatePath(tree[key] as Tree, rest, value);
};

Then('every file in {string} has no faults', (folder: string) => {
	const files = readdirSync(folder, {recursive: true}).map(String).filter(name => name.endsWith('.json'));
	assert.ok(files.length >= 4);
	for (const file of files) {
		assert.deepEqual(checkSettings(readExample(`${folder}/${file}`)).faults, [], file);
	}
});

When('{string} of the entry example is set to {string}', function (this: SettingsWorld, path: string, value: string) {
	const settings = readExample(ENTRY_EXAMPLE);
	mutatePath(settings, path.split('.'), JSON.parse(value));
	this.faults = checkSettings(settings).faults;
});

Then('the fault at {string} found {string} and says {string}', function (this: SettingsWorld, path: string, found: string, allowed: string) {
	const fault = this.faults.find(candidate => candidate.path === path);
	assert.ok(fault, JSON.stringify(this.faults));
	assert.equal(fault.found, found);
	assert.ok(fault.allowed.includes(allowed), fault.allowed);
});

Then(String.raw`docs\/ERRORS.md lists every result code as the code has it`, () => {
	const page = readFileSync('docs/ERRORS.md', 'utf8');
	for (const code of Object.values(RESULT_CODE)) {
		const {name, status, meaning, action} = RESULT_DETAILS[code];
		assert.ok(page.includes(`| ${code} | ${name} | ${status} | ${meaning} | ${action} |`), `${code} ${name}`);
	}

	const rows = [...page.matchAll(/^\| \d+ \|/gmv)];
	assert.equal(rows.length, Object.keys(RESULT_CODE).length);
});
