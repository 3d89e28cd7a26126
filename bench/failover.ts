import {mkdtemp} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {performance} from 'node:perf_hooks';
import {setTimeout as wait} from 'node:timers/promises';
import {type EngineBooks, ControlClient, Installation} from '@valelead/fakes';

type Row = Readonly<Record<string, string | number | boolean>>;

const ROUNDS = 5;
const QUIET_MS = 1500;

const say = (line: string): void => {
	process.stdout.write(`${line}\n`);
};

const getMedian = (values: readonly number[]): number => [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)];

const report = (name: string, agents: number, values: readonly number[]): void => {
	say(`FAILOVER what=${name} agents=${agents} median=${getMedian(values).toFixed(0)}ms worst=${Math.max(...values).toFixed(0)}ms rounds=${values.length}`);
};

/** Time from the end of the leader to the first command that its successor accepts. */
const measureLoss = async (installation: Installation, operator: ControlClient, signal: NodeJS.Signals): Promise<number[]> => {
	const times: number[] = [];
	for (let round = 0; round < ROUNDS; round += 1) {
		const {program} = installation.entries[await installation.getLeader()];
		const startedAt = performance.now();
		program.signal(signal);
		await operator.execute([{kind: 'createTeam', name: `${signal.toLowerCase()}-${round}`}], {commandId: `${signal}-${round}`});
		times.push(performance.now() - startedAt);
		if (signal === 'SIGSTOP') {
			program.signal('SIGCONT');
		} else {
			await program.exited();
			program.start();
		}

		await installation.waitUntilReady();
		await wait(QUIET_MS);
	}

	return times;
};

/** Time from an accepted command to its revision at every entry; polling adds up to one call. */
const measureInForce = async (operator: ControlClient): Promise<number[]> => {
	const times: number[] = [];
	for (let round = 0; round < ROUNDS * 4; round += 1) {
		const {revision} = await operator.execute([{kind: 'createTeam', name: `force-${round}`}], {commandId: `force-${round}`});
		const startedAt = performance.now();
		for (;;) {
			const entries = await operator.list<Row>('entries');
			if (entries.every(entry => Number(entry.revision) >= revision)) {
				break;
			}
		}

		times.push(performance.now() - startedAt);
	}

	return times;
};

/** Time from an accepted drain to the last request that the drained engine ran. */
const measureDrain = async (installation: Installation, operator: ControlClient, key: string): Promise<number[]> => {
	const times: number[] = [];
	for (let round = 0; round < ROUNDS; round += 1) {
		const stopping = new AbortController();
		const load = (async () => {
			while (!stopping.signal.aborted) {
				await installation.complete(0, key, {model: 'alloy', max_tokens: 1});
			}
		})();
		await wait(QUIET_MS);
		const [replica] = await operator.list<Row>('replicas');
		const engine = installation.engines.find(candidate => candidate.vm === replica.vm)!;
		await operator.execute([{kind: 'drain', target: 'vm', name: engine.vm}], {commandId: `drain-${round}`});
		const startedAt = performance.now();
		let last = 0;
		let ran = -1;
		while (performance.now() - startedAt < QUIET_MS) {
			const books = await installation.getBooks<EngineBooks>(engine.port);
			last = books.ran.length === ran ? last : performance.now() - startedAt;
			ran = books.ran.length;
		}

		times.push(last);
		stopping.abort();
		await load;
		await operator.execute([{kind: 'undrain', target: 'vm', name: engine.vm}], {commandId: `undrain-${round}`});
	}

	return times;
};

for (const engines of [2, 8]) {
	const installation = new Installation({
		folder: await mkdtemp(path.join(tmpdir(), 'valelead-failover-')), engines, services: 0, entrySettings: {logLevel: 'warn'}, agentSettings: {logLevel: 'warn'},
	});
	try {
		await installation.start();
		await installation.exec('create team mill; create model alloy memory 1GiB teams mill');
		const key = await installation.createKey('mill');
		await installation.complete(0, key, {model: 'alloy', max_tokens: 1});
		const operator = new ControlClient(installation);
		report('in-force-everywhere', engines, await measureInForce(operator));
		report('drain-to-last-dispatch', engines, await measureDrain(installation, operator, key));
		report('leader-killed', engines, await measureLoss(installation, operator, 'SIGKILL'));
		report('leader-frozen', engines, await measureLoss(installation, operator, 'SIGSTOP'));
	} finally {
		await installation.kill();
	}
}

process.exit(0); // eslint-disable-line unicorn/no-process-exit
