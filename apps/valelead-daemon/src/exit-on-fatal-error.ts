import process from 'node:process';
import {RESULT_CODE} from '@valelead/common';
import {type Logger, symbols} from 'pino';

type SyncDestination = {
	readonly flushSync: () => void;
};

const EXIT_STATUS = 1;

/** The longest logged stack, in characters. */
const MAX_STACK_LENGTH = 2000;

const getError = (thrown: unknown): Error => thrown instanceof Error ? thrown : new Error(String(thrown));

/**
 * Ends the process at an error that nothing caught, with one structured line that names the error. The line is written synchronously: the state of the
 * process may be inconsistent, so that it must neither answer nor send another request while a line is flushed.
 */
export const exitOnFatalError = (logger: Logger): void => {
	process.on('uncaughtException', (thrown, origin) => {
		const {message, stack} = getError(thrown);
		try {
			logger.fatal({
				event: 'fatal-error', code: RESULT_CODE.Internal, origin, reason: message, stack: stack?.slice(0, MAX_STACK_LENGTH),
			}, 'the process ends because of an error that nothing caught');
			(logger as unknown as Record<symbol, SyncDestination>)[symbols.streamSym].flushSync();
		} finally {
			process.exit(EXIT_STATUS);
		}
	});
};
