import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {Then, When} from '@cucumber/cucumber';

type LoggerWorld = {
	report: {readonly written: number; readonly heldBytes: number};
	isEnded: boolean;
	status: number | null;
	log: string;
};

const PROGRAM = fileURLToPath(new URL('logger-program.js', import.meta.url));
const STALLED_PROGRAM = fileURLToPath(new URL('stalled-exit-program.js', import.meta.url));
const MEGABYTE = 1_000_000;

When('a process writes 8 MB of log lines to a pipe that is not read', async function (this: LoggerWorld) {
	const child = spawn(process.execPath, [PROGRAM], {stdio: ['ignore', 'pipe', 'inherit', 'ipc']});
	const [report] = await once(child, 'message') as [LoggerWorld['report']];
	this.report = report;
	await once(child, 'exit');
	this.isEnded = true;
});

Then('it writes all of them without waiting, uses at most {int} MB more memory, and exits', function (this: LoggerWorld, megabytes: number) {
	assert.equal(this.report.written, 30_000);
	assert.ok(this.report.heldBytes < megabytes * MEGABYTE, `${this.report.heldBytes} bytes`);
	assert.ok(this.isEnded);
});

When('a process that stands still for {int} ms flushes its log and exits', async function (this: LoggerWorld, stalledMs: number) {
	const child = spawn(process.execPath, [STALLED_PROGRAM, String(stalledMs)], {stdio: ['ignore', 'pipe', 'inherit']});
	this.log = '';
	child.stdout.on('data', (part: Uint8Array) => {
		this.log += String(part);
	});
	const [status] = await once(child, 'close') as [number | null];
	this.status = status;
});

Then('it ended with status {int}, and its last line is in the log', function (this: LoggerWorld, status: number) {
	assert.equal(this.status, status);
	assert.match(this.log, /"event":"stopped"/v);
});
