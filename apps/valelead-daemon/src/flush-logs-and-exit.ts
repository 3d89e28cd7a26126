import process from 'node:process';
import {SYSTEM_CLOCK, TimerService} from '@valelead/common';
import type {Logger} from 'pino';

/** The longest time to wait until the reader of the log has accepted the last lines, in milliseconds. */
const FLUSH_TIMEOUT_MS = 300;

/** Flushes the log and exits the process. If the flush takes too long, the process kills itself. */
export const flushLogsAndExit = (logger: Logger, status: number): void => {
	// The daemon's own timer service has already been stopped.
	new TimerService(SYSTEM_CLOCK).after(FLUSH_TIMEOUT_MS, () => {
		// `process.exit` would wait for a log write that is blocked by its reader.
		process.kill(process.pid, 'SIGKILL');
	});
	logger.flush(() => {
		process.exit(status); // eslint-disable-line unicorn/no-process-exit -- open sockets must not keep a stopped daemon alive
	});
};
