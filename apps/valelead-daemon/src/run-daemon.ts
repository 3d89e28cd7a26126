import {readFileSync} from 'node:fs';
import process from 'node:process';
import {
	RESULT_CODE, SYSTEM_CLOCK, TimerService, ValeleadError, assertNever,
} from '@valelead/common';
import * as Effect from 'effect/Effect';
import type {Logger} from 'pino';
import type {Adapter} from './adapter/adapter.js';
import {startAgent} from './agent/start-agent.js';
import {startController} from './controller/start-controller.js';
import {startEntry} from './entry/start-entry.js';
import {startGateway} from './gateway/start-gateway.js';
import {exitOnFatalError} from './exit-on-fatal-error.js';
import {flushLogsAndExit} from './flush-logs-and-exit.js';
import {newLogger} from './logger.js';
import {loadSettingsOrExit} from './settings/load-settings-or-exit.js';
import {SettingsFileWatch} from './settings/settings-file-watch.js';
import {tryLoadSettings} from './settings/try-load-settings.js';
import type {Settings} from './settings/settings.js';
import {startSidecar} from './sidecar/start-sidecar.js';
import {startStandby} from './standby/start-standby.js';
import type {Stoppable} from './stoppable.js';
import {StopSignals} from './stop-signals.js';

const requireAdapter = (adapter: Adapter | undefined, settings: Settings): Adapter => {
	if (!adapter) {
		throw new ValeleadError(`The role ${settings.role} needs a platform's adapter`, {code: RESULT_CODE.InvalidSettings});
	}

	return adapter;
};

const start = async (settings: Settings, logger: Logger, adapter: Adapter | undefined): Promise<Stoppable> => {
	switch (settings.role) {
		case 'entry': {
			return startEntry(settings, logger);
		}

		case 'agent': {
			return startAgent(settings, logger);
		}

		case 'gateway': {
			return startGateway(settings, logger, requireAdapter(adapter, settings));
		}

		case 'sidecar': {
			return startSidecar(settings, logger, requireAdapter(adapter, settings));
		}

		case 'controller': {
			const {dataFolder} = settings;
			const platform = requireAdapter(adapter, settings);
			return dataFolder === undefined ? startStandby(settings, logger, platform) : startController({...settings, dataFolder}, logger, platform);
		}

		default: {
			return assertNever(settings);
		}
	}
};

/** A daemon that has not started this long after a stop signal serves nothing yet and exits, in milliseconds. */
const START_LIMIT_MS = 2000;

/** Exits the process if it is stopped and has not started in time. */
const exitUnlessStarted = async (signals: StopSignals, part: {readonly running?: Stoppable}, logger: Logger): Promise<void> => {
	await signals.waitForFirst();
	new TimerService(SYSTEM_CLOCK).after(START_LIMIT_MS, () => {
		if (!part.running) {
			logger.info({event: 'stopped', isStarted: false}, 'stopped before it had started');
			flushLogsAndExit(logger, 0);
		}
	});
};

/** Returns the text of the settings file, or an empty string if it cannot be read. The reason is reported when the settings are loaded. */
const readTextOrEmpty = (file: string): string => {
	try {
		return readFileSync(file, 'utf8');
	} catch {
		return '';
	}
};

/**
 * Checks a changed settings file and applies what can change at run time, such as the controller addresses. The rest takes effect at the next start.
 */
const handleReload = (file: string, logger: Logger, running: Stoppable | undefined): void => {
	const settings = tryLoadSettings(file, logger);
	logger.info({event: 'reload', settingsFile: file, isValid: settings !== undefined}, 'settings file read again; settings that cannot change at run time take effect at the next start');
	if (settings) {
		running?.reload?.(settings);
	}
};

type ProgramParts = {
	readonly file: string;
	/** The text of the file when the settings were loaded. */
	readonly text: string;
	readonly settings: Settings;
	readonly logger: Logger;
	readonly adapter: Adapter | undefined;
};

/** Creates the program of the daemon, from its start to its planned stop. */
const newProgram = ({file, text, settings, logger, adapter}: ProgramParts): Effect.Effect<void, unknown> => Effect.scoped(Effect.gen(function * () {
	const part: {running?: Stoppable} = {};
	const signals = new StopSignals({
		logger,
		clock: SYSTEM_CLOCK,
		onHurried() {
			if (part.running) {
				part.running.stopNow();
			} else {
				flushLogsAndExit(logger, 0);
			}
		},
	});
	void exitUnlessStarted(signals, part, logger);
	const reload = (): void => {
		handleReload(file, logger, part.running);
	};

	process.on('SIGHUP', reload);
	const running = yield * Effect.acquireRelease(
		Effect.tryPromise({try: async () => start(settings, logger, adapter), catch: error => error}),
		started => Effect.promise(async () => started.stop()),
	);
	part.running = running;
	const timers = new TimerService(SYSTEM_CLOCK);
	const watch = new SettingsFileWatch({
		file, text, timers, logger, onChange: reload,
	});
	if (running.reload) {
		watch.start();
	}

	yield * Effect.promise(async () => signals.waitForFirst());
	watch.stop();
	timers.stop();
}));

/** Runs the daemon with a settings file until it is stopped, then exits the process. */
export const runDaemon = async (file: string, adapter?: Adapter): Promise<void> => {
	const text = readTextOrEmpty(file);
	const settings = loadSettingsOrExit(file);
	const logger = newLogger(settings.logLevel, {vm: settings.vm, role: settings.role});
	exitOnFatalError(logger);
	try {
		await Effect.runPromise(newProgram({
			file, text, settings, logger, adapter,
		}));
		logger.info({event: 'stopped'}, 'stopped');
		flushLogsAndExit(logger, 0);
	} catch (error) {
		const code = error instanceof ValeleadError ? error.code : RESULT_CODE.Internal;
		logger.fatal({event: 'start-failed', code, reason: (error as Error).message}, 'start failed');
		flushLogsAndExit(logger, 1);
	}
};
