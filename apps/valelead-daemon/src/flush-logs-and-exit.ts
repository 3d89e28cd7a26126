import process from 'node:process';
import {SYSTEM_CLOCK, TimerService} from '@valelead/common';
import type {Logger} from 'pino';

/** Interval of the checks whether the reader of the log has accepted the last lines, in milliseconds, and the number of checks. */
const FLUSH_CHECK_MS = 50;
const MAX_FLUSH_CHECKS = 6;

/**
 * Flushes the log and exits the process. If the flush takes too long, the process kills itself. The time is counted in checks, so that a process that was
 * stalled meanwhile still finds out that its lines have been written.
 */
export const flushLogsAndExit = (logger: Logger, status: number): void => {
	let checks = 0;
	// The daemon's own timer service has already been stopped.
	new TimerService(SYSTEM_CLOCK).repeat(FLUSH_CHECK_MS, () => {
		checks += 1;
		if (checks === MAX_FLUSH_CHECKS) {
			// `process.exit` would wait for a log write that is blocked by its reader.
			process.kill(process.pid, 'SIGKILL');
		}
	});
	logger.flush(() => {
		process.exit(status); // eslint-disable-line unicorn/no-process-exit -- open sockets must not keep a stopped daemon alive
	});
};
