import process from 'node:process';
import {RESULT_CODE, ValeleadError, assertNever} from '@valelead/common';
import * as Effect from 'effect/Effect';
import type {Logger} from 'pino';
import type {Adapter} from './adapter/adapter.js';
import {startAgent} from './agent/start-agent.js';
import {startController} from './controller/start-controller.js';
import {startEntry} from './entry/start-entry.js';
import {startGateway} from './gateway/start-gateway.js';
import {exitWithLogs} from './exit-with-logs.js';
import {newLogger} from './logger.js';
import {loadOrExit} from './settings/load-or-exit.js';
import {tryLoadSettings} from './settings/try-load-settings.js';
import type {Settings} from './settings/settings.js';
import {startSidecar} from './sidecar/start-sidecar.js';
import type {Stoppable} from './stoppable.js';

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
			return startController(settings, logger, requireAdapter(adapter, settings));
		}

		default: {
			return assertNever(settings);
		}
	}
};

/** Resolves at the first stop signal; a second one ends the part at once. */
const waitForStop = (running: Stoppable, logger: Logger): Effect.Effect<void> => Effect.callback<void>(resume => {
	let signals = 0;
	const take = (): void => {
		signals += 1;
		logger.info({event: 'stop-signal', signals}, 'stop signal');
		if (signals > 1) {
			running.stopNow();
			return;
		}

		resume(Effect.void);
	};

	process.on('SIGTERM', take);
	process.on('SIGINT', take);
});

/** Settings are read at the start; a changed file is checked and logged, and takes effect at the next start. */
const watchReload = (file: string, logger: Logger): void => {
	process.on('SIGHUP', () => {
		const settings = tryLoadSettings(file, logger);
		logger.info({event: 'reload', settingsFile: file, isValid: settings !== undefined}, 'settings file read again; it takes effect at the next start');
	});
};

/** The daemon from its start to its planned stop. */
const newProgram = (settings: Settings, logger: Logger, adapter: Adapter | undefined): Effect.Effect<void, unknown> => Effect.scoped(Effect.gen(function * () {
	const running = yield * Effect.acquireRelease(
		Effect.tryPromise({try: async () => start(settings, logger, adapter), catch: error => error}),
		part => Effect.promise(async () => part.stop()),
	);
	yield * waitForStop(running, logger);
}));

/** Runs the daemon with a settings file until it is stopped, and ends the process. */
export const runDaemon = async (file: string, adapter?: Adapter): Promise<void> => {
	const settings = loadOrExit(file);
	const logger = newLogger(settings.logLevel, {vm: settings.vm, role: settings.role});
	watchReload(file, logger);
	try {
		await Effect.runPromise(newProgram(settings, logger, adapter));
		logger.info({event: 'stopped'}, 'stopped');
		exitWithLogs(logger, 0);
	} catch (error) {
		const code = error instanceof ValeleadError ? error.code : RESULT_CODE.Internal;
		logger.fatal({event: 'start-failed', code, reason: (error as Error).message}, 'start failed');
		exitWithLogs(logger, 1);
	}
};
