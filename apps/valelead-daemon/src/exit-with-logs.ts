import process from 'node:process';
import {SYSTEM_CLOCK, TimerService} from '@valelead/common';
import type {Logger} from 'pino';

/** A reader of the logs that does not take them within this time is not waited for, in milliseconds. */
const FLUSH_LIMIT_MS = 300;

/** Ends the process once its last log lines are written. */
export const exitWithLogs = (logger: Logger, status: number): void => {
	// The daemon's own timer service has been stopped with its parts.
	new TimerService(SYSTEM_CLOCK).after(FLUSH_LIMIT_MS, () => {
		// A write that the reader blocks would hold up an orderly exit for as long.
		process.kill(process.pid, 'SIGKILL');
	});
	logger.flush(() => {
		process.exit(status); // eslint-disable-line unicorn/no-process-exit -- open sockets must not keep a stopped daemon alive
	});
};
