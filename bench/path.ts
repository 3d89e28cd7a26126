import {readFileSync} from 'node:fs';
import {mkdtemp} from 'node:fs/promises';
import {Agent, request} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {performance} from 'node:perf_hooks';
import {Installation} from '@valelead/fakes';
import {formatRow} from './format-row.js';

type Target = {
	readonly port: number;
	readonly headers: Readonly<Record<string, string>>;
	readonly model: string;
};

type Sample = {
	readonly times: readonly number[];
	readonly tookMs: number;
};

type Measured = {
	readonly p50: number;
	readonly p99: number;
	readonly perSecond: number;
};

const WARM_UP = 300;
const REQUESTS = 500;

/** Direct and through take turns, so that a busy machine slows both. */
const ROUNDS = 6;
const CONCURRENT = 32;
const CLOCK_TICKS_PER_SECOND = 100;

const sockets = new Agent({keepAlive: true, maxSockets: CONCURRENT});

const ask = async ({port, headers, model}: Target): Promise<void> => new Promise((resolve, reject) => {
	const outgoing = request({
		agent: sockets, host: '127.0.0.1', port, method: 'POST', path: '/v1/chat/completions', headers: {'content-type': 'application/json', ...headers},
	}, message => {
		message.resume();
		message.on('end', () => {
			if (message.statusCode === 200) {
				resolve();
			} else {
				reject(new Error(`status ${message.statusCode}`));
			}
		});
	});
	outgoing.on('error', reject);
	outgoing.end(JSON.stringify({model, max_tokens: 4, messages: [{role: 'user', content: 'x'}]}));
});

const getQuantile = (sorted: readonly number[], share: number): number => sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))];

const measure = async (target: Target, concurrent: number, count: number): Promise<Sample> => {
	const times: number[] = [];
	let left = count;
	const startedAt = performance.now();
	const work = async (): Promise<void> => {
		while (left > 0) {
			left -= 1;
			const askedAt = performance.now();
			await ask(target);
			times.push(performance.now() - askedAt);
		}
	};

	await Promise.all(Array.from({length: concurrent}, work));
	return {times, tookMs: performance.now() - startedAt};
};

const summarize = (samples: readonly Sample[]): Measured => {
	const times = samples.flatMap(sample => sample.times).sort((left, right) => left - right);
	const tookMs = samples.reduce((sum, sample) => sum + sample.tookMs, 0);
	return {p50: getQuantile(times, 0.5), p99: getQuantile(times, 0.99), perSecond: times.length / tookMs * 1000};
};

const getCpuMs = (pid: number): number => {
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1].split(' ');
	return (Number(fields[11]) + Number(fields[12])) * 1000 / CLOCK_TICKS_PER_SECOND;
};

const getResidentMb = (pid: number): number => Number(/VmRSS:\s+(?<kb>\d+)/v.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))!.groups!.kb) / 1024;

const say = (line: string): void => {
	process.stdout.write(`${line}\n`);
};

const toText = ({p50, p99, perSecond}: Measured): string => `p50=${p50.toFixed(2)}ms p99=${p99.toFixed(2)}ms rps=${perSecond.toFixed(0)}`;

/** Latency and throughput through an entry and an agent, against the engine called directly, in one run. */
const installation = new Installation({
	folder: await mkdtemp(path.join(tmpdir(), 'valelead-bench-')), engines: 1, services: 0, engineArguments: ['--capacity', '64', '--first-token-ms', '1', '--token-ms', '0'],
	entrySettings: {logLevel: 'warn'}, agentSettings: {logLevel: 'warn'},
});
try {
	await installation.start();
	await installation.exec('create team mill limit 1000; create model alloy memory 1GiB teams mill');
	const key = await installation.createKey('mill');
	const [entry] = installation.entries;
	const [engine] = installation.engines;
	const through: Target = {port: entry.httpPort, headers: {authorization: `Bearer ${key}`}, model: 'alloy'};
	const direct: Target = {port: engine.port, headers: {}, model: 'alloy@v1'};
	for (const target of [through, direct]) {
		await measure(target, 1, WARM_UP);
	}

	for (const concurrent of [1, CONCURRENT]) {
		const pids = [entry.program.pid, engine.agent.pid];
		const cpu = pids.map(() => 0);
		const directSamples: Sample[] = [];
		const throughSamples: Sample[] = [];
		for (let round = 0; round < ROUNDS; round += 1) {
			directSamples.push(await measure(direct, concurrent, REQUESTS));
			const before = pids.map(pid => getCpuMs(pid));
			throughSamples.push(await measure(through, concurrent, REQUESTS));
			for (const [index, pid] of pids.entries()) {
				cpu[index] += (getCpuMs(pid) - before[index]) / (REQUESTS * ROUNDS);
			}
		}

		const directMeasured = summarize(directSamples);
		const throughMeasured = summarize(throughSamples);
		say(`PATH concurrent=${concurrent} direct ${toText(directMeasured)}`);
		say(`PATH concurrent=${concurrent} through ${toText(throughMeasured)}`);
		say(formatRow('PATH', {
			concurrent,
			added_p50: `${(throughMeasured.p50 - directMeasured.p50).toFixed(2)}ms`,
			'p50/direct': (throughMeasured.p50 / directMeasured.p50).toFixed(2),
			'p99/direct': (throughMeasured.p99 / directMeasured.p99).toFixed(2),
			'rps/direct': (throughMeasured.perSecond / directMeasured.perSecond).toFixed(2),
			entry_cpu: `${cpu[0].toFixed(2)}ms`,
			agent_cpu: `${cpu[1].toFixed(2)}ms`,
		}));
	}

	const programs = [...installation.entries.map((part, index) => ({name: `entry-${index + 1}`, pid: part.program.pid})), {name: 'agent', pid: engine.agent.pid}];
	say(`MEMORY ${programs.map(({name, pid}) => `${name}=${getResidentMb(pid).toFixed(0)}MB`).join(' ')}`);
	await installation.stop();
} finally {
	sockets.destroy();
	await installation.kill();
}
