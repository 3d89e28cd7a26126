import process from 'node:process';

/** SIGHUP and SIGUSR2 end a process that has no handler for them; SIGUSR1 makes Node.js listen for a debugger. */
const SIGNALS: readonly NodeJS.Signals[] = ['SIGHUP', 'SIGUSR1', 'SIGUSR2'];

/** Lets this process go on at signals that are no orders to stop. Handlers that act on them may be added. */
export const ignoreSignals = (): void => {
	for (const signal of SIGNALS) {
		process.on(signal, () => undefined);
	}
};
