import assert from 'node:assert/strict';
import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {Then, When} from '@cucumber/cucumber';

type LoggerWorld = {
	child: ChildProcess | undefined;
	report: {readonly written: number; readonly heldBytes: number};
	isEnded: boolean;
	status: number | null;
	log: string;
};

const PROGRAM = fileURLToPath(new URL('logger-program.js', import.meta.url));
const FATAL_PROGRAM = fileURLToPath(new URL('fatal-error-program.js', import.meta.url));
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

const run = async (world: LoggerWorld, program: string, parameter: string): Promise<void> => {
	const child = spawn(process.execPath, [program, parameter], {stdio: ['ignore', 'pipe', 'inherit']});
	world.log = '';
	child.stdout.on('data', (part: Uint8Array) => {
		world.log += String(part);
	});
	const [status] = await once(child, 'close') as [number | null];
	world.status = status;
};

When('a process that stands still for {int} ms flushes its log and exits', async function (this: LoggerWorld, stalledMs: number) {
	await run(this, STALLED_PROGRAM, String(stalledMs));
});

When('a process logs a line and then meets {string}', async function (this: LoggerWorld, error: string) {
	await run(this, FATAL_PROGRAM, error);
});

Then('it ended with status {int}, and the last line in its log names the error', function (this: LoggerWorld, status: number) {
	assert.equal(this.status, status);
	const lines = this.log.trim().split('\n').map(line => JSON.parse(line) as {event: string; reason?: string});
	assert.deepEqual(lines.map(({event}) => event), ['before', 'fatal-error']);
	assert.equal(lines[1].reason, 'faulty');
});

Then('it ended with status {int}, and its last line is in the log', function (this: LoggerWorld, status: number) {
	assert.equal(this.status, status);
	assert.match(this.log, /"event":"stopped"/v);
});

When('a process meets an error with {int} lines in its log, whose reader {}', async function (this: LoggerWorld, lines: number, state: string) {
	const child = spawn(process.execPath, [FATAL_PROGRAM, 'a throw in a timer', String(lines)], {stdio: ['ignore', 'pipe', 'inherit']});
	this.child = child;
	// A stream without a listener for its data is not read further than its buffer.
	if (state === 'has left') {
		child.stdout.destroy();
	}
});

Then('it ends within {int} seconds', {timeout: 60_000}, async function (this: LoggerWorld, seconds: number) {
	const child = this.child!;
	const timer = setTimeout(() => {
		child.kill('SIGKILL');
	}, seconds * 1000);
	const [status] = child.exitCode === null ? await once(child, 'exit') as [number | null] : [child.exitCode];
	const isKilled = status === null && child.killed;
	clearTimeout(timer);
	child.stdout?.destroy();
	assert.ok(!isKilled, 'the process had to be killed');
});
