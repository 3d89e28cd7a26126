import process from 'node:process';
import {flushLogsAndExit, newLogger} from 'valelead-daemon';

const LINES = 30_000;
const LINES_PER_ITERATION = 300;
const TEXT = 'x'.repeat(200);

const logger = newLogger('info', {vm: 'a', role: 'test'});
const before = process.memoryUsage().rss;
let written = 0;

const writeBatch = (): void => {
	for (let index = 0; index < LINES_PER_ITERATION; index += 1) {
		logger.info({event: 'test', line: written}, TEXT);
		written += 1;
	}

	if (written < LINES) {
		setImmediate(writeBatch);
		return;
	}

	process.send!({written, heldBytes: process.memoryUsage().rss - before}, () => {
		flushLogsAndExit(logger, 0);
	});
};

writeBatch();
