import assert from 'node:assert/strict';
import {
	mkdtemp, readdir, readFile, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {Given, Then, When} from '@cucumber/cucumber';
import {FileStorage} from '@valelead/consensus';

type StorageWorld = {
	folder: string;
};

const TORN_BYTES = 3;

const getLogFile = async (folder: string): Promise<string> => {
	const names = await readdir(folder);
	return path.join(folder, names.find(name => name.endsWith('.wal'))!);
};

Given('a log file with {int} synced batches', async function (this: StorageWorld, batches: number) {
	this.folder = await mkdtemp(path.join(tmpdir(), 'valelead-log-'));
	const storage = new FileStorage(this.folder);
	await storage.create({
		id: 'id',
		vm: 'vm',
		hardState: {term: 1, votedFor: undefined},
		snapshot: {
			index: 0, term: 0, voters: [], data: '',
		},
		entries: [],
	});
	for (let index = 1; index <= batches; index += 1) {
		const entry = {
			index, term: 1, kind: 'command', data: `command ${index}`,
		} as const;
		await storage.persist([{kind: 'persistEntries', entries: [entry]}]);
	}

	await storage.close();
});

When('the last batch is torn', async function (this: StorageWorld) {
	const file = await getLogFile(this.folder);
	const bytes = await readFile(file);
	await writeFile(file, bytes.subarray(0, bytes.length - TORN_BYTES));
});

When('a byte in the middle is changed', async function (this: StorageWorld) {
	const file = await getLogFile(this.folder);
	const bytes = await readFile(file);
	const middle = Math.floor(bytes.length / 2);
	bytes[middle] = bytes[middle] === 0 ? 1 : 0;
	await writeFile(file, bytes);
});

Then('the log opens with {int} batches', async function (this: StorageWorld, batches: number) {
	const storage = new FileStorage(this.folder);
	const stored = await storage.load();
	await storage.close();
	assert.deepEqual(stored?.entries.map(entry => entry.index), Array.from({length: batches}, (_, index) => index + 1));
});

Then('opening the log fails with code {int}', async function (this: StorageWorld, code: number) {
	await assert.rejects(new FileStorage(this.folder).load(), {code});
});
