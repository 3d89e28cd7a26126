import {type Logger, destination, pino} from 'pino';

type LogContext = {
	readonly vm: string;
	readonly role: string;
};

/** The file descriptor of standard output. */
const STDOUT_FD = 1;

/** Log lines are written in batches, when this many bytes have accumulated or when the flush interval has passed. */
const BATCH_BYTES = 4096;
const FLUSH_INTERVAL_MS = 500;

/** The most bytes buffered for a reader that does not keep up. Further lines are dropped. */
const MAX_BUFFERED_BYTES = 1_048_576;

/**
 * Creates a logger that writes JSON, one event per line. Prompts, responses and keys are never passed to a logger. Lines are written
 * asynchronously, so that a reader that stalls neither blocks the process nor fills its memory.
 */
export const newLogger = (level: string, context: LogContext): Logger => {
	const output = destination({
		dest: STDOUT_FD, sync: false, minLength: BATCH_BYTES, maxLength: MAX_BUFFERED_BYTES, periodicFlush: FLUSH_INTERVAL_MS,
	});
	// Lines that cannot be written, to a full disk or for a reader that has left, are lost; the process goes on.
	output.on('error', () => undefined);
	return pino({level, base: context, timestamp: pino.stdTimeFunctions.isoTime}, output);
};
