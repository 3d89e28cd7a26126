import process from 'node:process';
import {Command} from 'commander';
import * as Schema from 'effect/Schema';
import {runDaemon} from './run-daemon.js';
import {loadSettingsOrExit} from './settings/load-settings-or-exit.js';
import {SETTINGS_SCHEMA} from './settings/settings-schema.js';

/** Runs what the command line of the daemon asks for. */
export const runCommandLine = async (): Promise<void> => {
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
		loadSettingsOrExit(options.checkSettings);
		process.stdout.write(`${options.checkSettings}: no faults\n`);
	} else if (options.settings === undefined) {
		program.help({error: true});
	} else {
		await runDaemon(options.settings);
	}
};
