import {type Logger, destination, pino} from 'pino';

type LogContext = {
	readonly vm: string;
	readonly role: string;
};

/** Standard output. */
const OUTPUT = 1;

/** Lines are written together once they make this many bytes, or after the flush time. */
const BATCH_BYTES = 4096;
const FLUSH_MS = 500;

/** What is held for a reader that does not keep up, in bytes; further lines are dropped. */
const MAX_HELD_BYTES = 1_048_576;

/**
 * Logs are JSON, one event a line. Prompts, answers and keys are never passed to a logger. Lines are written in the
 * background, so that a reader that stalls neither holds up the process nor fills its memory.
 */
export const newLogger = (level: string, context: LogContext): Logger => {
	const output = destination({
		dest: OUTPUT, sync: false, minLength: BATCH_BYTES, maxLength: MAX_HELD_BYTES, periodicFlush: FLUSH_MS,
	});
	return pino({level, base: context, timestamp: pino.stdTimeFunctions.isoTime}, output);
};
