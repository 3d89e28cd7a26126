import process from 'node:process';
import {Worker} from 'node:worker_threads';
import {RESULT_CODE} from '@valelead/common';
import {type Logger, symbols} from 'pino';

type SyncDestination = {
	readonly flushSync: () => void;
};

const EXIT_STATUS = 1;

/** The longest logged stack, in characters. */
const MAX_STACK_LENGTH = 2000;

/** The longest time for writing the last lines, in milliseconds. */
const FLUSH_LIMIT_MS = 500;

/** Ends the process after a while. A write that waits for the reader of the log blocks this thread, so that no timer of it would fire. */
const endAfterLimit = (): void => {
	const worker = new Worker(`setTimeout(() => process.kill(${process.pid}, 'SIGKILL'), ${FLUSH_LIMIT_MS})`, {eval: true});
	worker.unref();
};

/** Returns a text of a thrown value, which may be of any kind. */
const getText = (value: unknown): string => {
	try {
		return String(value).slice(0, MAX_STACK_LENGTH);
	} catch {
		return 'a value without a text';
	}
};

/**
 * Ends the process at an error that nothing caught, with one structured line that names the error. The line is written synchronously: the state of the
 * process may be inconsistent, so that it must neither answer nor send another request while a line is flushed.
 */
export const exitOnFatalError = (logger: Logger): void => {
	process.on('uncaughtException', (thrown: unknown, origin) => {
		try {
			endAfterLimit();
			const error = thrown instanceof Error ? thrown : undefined;
			logger.fatal({
				event: 'fatal-error', code: RESULT_CODE.Internal, origin, reason: getText(error?.message ?? thrown), stack: getText(error?.stack ?? ''),
			}, 'the process ends because of an error that nothing caught');
			(logger as unknown as Record<symbol, SyncDestination>)[symbols.streamSym].flushSync();
		} finally {
			process.exit(EXIT_STATUS);
		}
	});
};
