import process from 'node:process';
import {exitWithLogs, newLogger} from 'valelead-daemon';

const LINES = 30_000;
const LINES_A_TURN = 300;
const TEXT = 'x'.repeat(200);

const logger = newLogger('info', {vm: 'a', role: 'test'});
const before = process.memoryUsage().rss;
let written = 0;

const writeSome = (): void => {
	for (let index = 0; index < LINES_A_TURN; index += 1) {
		logger.info({event: 'test', line: written}, TEXT);
		written += 1;
	}

	if (written < LINES) {
		setImmediate(writeSome);
		return;
	}

	process.send!({written, heldBytes: process.memoryUsage().rss - before}, () => {
		exitWithLogs(logger, 0);
	});
};

writeSome();
