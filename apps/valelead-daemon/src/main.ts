#!/usr/bin/env node
import process from 'node:process';
import {RESULT_CODE, ValeleadError, assertNever} from '@valelead/common';
import {Command} from 'commander';
import * as Effect from 'effect/Effect';
import * as Schema from 'effect/Schema';
import type {Logger} from 'pino';
import {startAgent} from './agent/start-agent.js';
import {startEntry} from './entry/start-entry.js';
import {newLogger} from './logger.js';
import {loadSettings} from './settings/load-settings.js';
import {SETTINGS_SCHEMA} from './settings/settings-schema.js';
import type {Settings} from './settings/settings.js';
import type {Stoppable} from './stoppable.js';

const start = async (settings: Settings, logger: Logger): Promise<Stoppable> => {
	switch (settings.role) {
		case 'entry': {
			return startEntry(settings, logger);
		}

		case 'agent': {
			return startAgent(settings, logger);
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

/** The daemon from its start to its planned stop. */
const newProgram = (settings: Settings, logger: Logger): Effect.Effect<void, unknown> => Effect.scoped(Effect.gen(function * () {
	const running = yield * Effect.acquireRelease(
		Effect.tryPromise({try: async () => start(settings, logger), catch: error => error}),
		part => Effect.promise(async () => part.stop()),
	);
	yield * waitForStop(running, logger);
}));

const run = async (settings: Settings): Promise<void> => {
	const logger = newLogger(settings.logLevel, {vm: settings.vm, role: settings.role});
	try {
		await Effect.runPromise(newProgram(settings, logger));
		logger.info({event: 'stopped'}, 'stopped');
		process.exitCode = 0;
	} catch (error) {
		const code = error instanceof ValeleadError ? error.code : RESULT_CODE.Internal;
		logger.fatal({event: 'start-failed', code, reason: (error as Error).message}, 'start failed');
		process.exitCode = 1;
	}

	logger.flush();
	process.exit();
};

const loadOrExit = (file: string): Settings => {
	try {
		return loadSettings(file);
	} catch (error) {
		process.stderr.write(`${(error as Error).message}\n`);
		process.exit(RESULT_CODE.InvalidSettings % 256);
	}
};

const program = new Command('valeleadd')
	.description('The valelead daemon. Its role stands in its settings file.')
	.option('--settings <file>', 'run with this settings file')
	.option('--check-settings <file>', 'check a settings file and exit')
	.option('--print-schema', 'print the JSON Schema of the settings and exit')
	.parse();

const options = program.opts<{settings?: string; checkSettings?: string; printSchema?: boolean}>();

if (options.printSchema) {
	process.stdout.write(`${JSON.stringify(Schema.toJsonSchemaDocument(SETTINGS_SCHEMA), undefined, '\t')}\n`);
} else if (options.checkSettings !== undefined) {
	loadOrExit(options.checkSettings);
	process.stdout.write(`${options.checkSettings}: no faults\n`);
} else if (options.settings === undefined) {
	program.help({error: true});
} else {
	await run(loadOrExit(options.settings));
}
