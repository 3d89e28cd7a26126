#!/usr/bin/env node
// Lints with XO and fails on warnings too.
import {spawnSync} from 'node:child_process';
import process from 'node:process';

const XO = 'node_modules/xo/dist/cli.js';
const MAX_OUTPUT_BYTES = 64 * 1024 * 1024;

const {stdout, stderr} = spawnSync(process.execPath, [XO, '--reporter=json'], {encoding: 'utf8', maxBuffer: MAX_OUTPUT_BYTES});
if (stdout === '') {
	process.stderr.write(stderr);
	process.exit(1);
}

const findings = JSON.parse(stdout).flatMap(({filePath, messages}) => messages.map(message => ({filePath, ...message})));
for (const {filePath, line, column, message, ruleId} of findings) {
	process.stdout.write(`${filePath}:${line}:${column} ${message} (${ruleId})\n`);
}

process.exitCode = findings.length > 0 ? 1 : 0;
