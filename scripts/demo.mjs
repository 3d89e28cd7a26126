#!/usr/bin/env node
// Starts an installation on loopback, shows it at work, and stops it. `--keep` leaves it running.
import {mkdtemp} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {Installation} from '@valelead/fakes';

const isKept = process.argv.includes('--keep');
const folder = await mkdtemp(path.join(tmpdir(), 'valelead-demo-'));
const installation = new Installation({folder, engines: 3, services: 1});

const say = text => {
	process.stdout.write(`${text}\n`);
};

const showStream = text => {
	const words = [...text.matchAll(/"content":"(?<word>[^"]*)"/gv)].map(match => match.groups.word);
	return `${words.join('')}${text.includes('[DONE]') ? '' : ' (cut)'}`;
};

try {
	await installation.start();
	say('Three entries with voters, three engines and one service are running, each as its own process.');
	const statements = [
		'create class urgent deadline 20s weight 3',
		'create team mill weight 1',
		'create model alloy-lookup memory 4GiB replicas 0..1 class urgent teams mill',
		'create adapter bronze on model alloy-lookup memory 256MiB',
		'create service holds class urgent teams mill not repeatable',
	];
	await installation.exec(statements.join('; '));
	const key = await installation.createKey('mill');

	const startedAt = Date.now();
	let firstAt;
	const answer = await installation.complete(0, key, {model: 'alloy-lookup', stream: true, messages: [{role: 'user', content: 'grade of 316L?'}]}, () => {
		firstAt ??= Date.now();
	});
	say(`Streamed completion from a cold model: ${showStream(answer.text)}`);
	say(`Cold start to the first token: ${firstAt - startedAt} ms`);

	const hold = await installation.callService(1, key, 'holds/reserve', '{"costume":"dress 12"}', 'demo-1');
	const resent = await installation.callService(2, key, 'holds/reserve', '{"costume":"dress 12"}', 'demo-1');
	say(`Reservation hold: ${hold.text}`);
	say(`Resent through another entry: ${resent.text} (replayed: ${resent.headers['idempotent-replayed'] ?? 'no'})`);
	const isWhole = answer.status === 200 && answer.text.includes('[DONE]') && hold.status === 200 && resent.text === hold.text;
	if (!isWhole) {
		throw new Error(`The demonstration failed: ${answer.text} ${hold.text} ${resent.text}`);
	}

	if (isKept) {
		say(`Entries: ${installation.entries.map(entry => `http://127.0.0.1:${entry.httpPort}`).join(' ')}`);
		say(`Metrics: ${installation.entries.map(entry => `http://127.0.0.1:${entry.adminPort}/metrics`).join(' ')}`);
		say(`Team key: ${key}`);
		say(`export VALELEAD_CONTROL=${installation.control} VALELEAD_KEY_FILE=${installation.keyFile}`);
		say('Running until Ctrl+C.');
		await new Promise(resolve => {
			process.once('SIGINT', resolve);
			process.once('SIGTERM', resolve);
		});
	}

	const statuses = await installation.stop();
	say(`Stopped; exit statuses: ${statuses.join(' ')}`);
	process.exitCode = statuses.every(status => status === 0) ? 0 : 1;
} catch (error) {
	say(`${error.stack}\nLogs: ${folder}`);
	await installation.kill();
	process.exitCode = 1;
}
