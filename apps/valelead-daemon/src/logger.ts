import {type Logger, pino} from 'pino';

type LogContext = {
	readonly vm: string;
	readonly role: string;
};

/** Logs are JSON, one event a line. Prompts, answers and keys are never passed to a logger. */
export const newLogger = (level: string, context: LogContext): Logger => pino({level, base: context, timestamp: pino.stdTimeFunctions.isoTime});
