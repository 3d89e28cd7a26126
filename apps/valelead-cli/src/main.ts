#!/usr/bin/env node
import process from 'node:process';
import {Command, Option} from 'commander';
import {apply} from './actions/apply.js';
import {completion} from './actions/completion.js';
import {exec} from './actions/exec.js';
import {repl} from './actions/repl.js';
import {Connection} from './connection.js';
import {formatError} from './format-error.js';
import {getExitStatus} from './get-exit-status.js';
import type {Action} from './action.js';
import type {CommonOptions} from './common-options.js';

const DEFAULT_TIMEOUT_MS = 10_000;

const print = (text: string): void => {
	process.stdout.write(`${text}\n`);
};

const printProgress = (text: string): void => {
	process.stderr.write(`${text}\n`);
};

const program = new Command('valelead')
	.description('Operates a valelead installation.')
	.addOption(new Option('--control <addresses>', 'addresses of the voters, separated by commas').env('VALELEAD_CONTROL').default('127.0.0.1:7001'))
	.addOption(new Option('--key-file <file>', 'file with the operator key').env('VALELEAD_KEY_FILE').default('operator.key'))
	.addOption(new Option('--output <form>', 'form of the output').choices(['table', 'json']).default('table'))
	.addOption(new Option('--timeout <ms>', 'how long to wait for the leader').argParser(Number).default(DEFAULT_TIMEOUT_MS))
	.option('--certificate-file <file>', 'certificate of the operator')
	.option('--certificate-key-file <file>', 'key of the certificate')
	.option('--authority-file <file>', 'authority of the certificates');

const perform = async <Parameters>(action: Action<Parameters>, parameters: Parameters): Promise<void> => {
	let connection: Connection | undefined;
	try {
		const options = program.opts<CommonOptions>();
		connection = new Connection(options);
		await action.perform({
			connection, options, print, printProgress,
		}, parameters);
	} catch (error) {
		printProgress(formatError(error));
		process.exitCode = getExitStatus(error);
	} finally {
		connection?.close();
	}
};

type ExecOptions = {
	readonly commandId?: string;
	readonly expectedRevision?: number;
	readonly wait: boolean;
};

program.command('exec <statements>')
	.description('run statements separated by semicolons')
	.option('--command-id <id>', 'a resend with the same id returns the first result')
	.option('--expected-revision <number>', 'refuse if the configuration has changed since', Number)
	.option('--no-wait', 'do not wait until the change is in force at every entry')
	.action(async (text: string, {wait, ...options}: ExecOptions) => {
		await perform(exec, {text, isWaiting: wait, ...options});
	});

program.command('apply <file>')
	.description('bring the configuration to what a file states')
	.option('--dry-run', 'show what would change', false)
	.action(async (file: string, options: {dryRun: boolean}) => {
		await perform(apply, {file, isDryRun: options.dryRun});
	});

program.command('repl')
	.description('read statements line by line')
	.action(async () => {
		await perform(repl, undefined);
	});

program.command('completion')
	.description('print a completion script for bash')
	.action(() => {
		completion.perform(print);
	});

await program.parseAsync();
