import process from 'node:process';
import {Command} from 'commander';
import {FUZZ_SYSTEMS} from './support/fuzz-systems.js';

const RUNS_A_ROUND = 50;

/** Fuzzes all systems in turn until the time is over; prints the seed and the shrunk commands of a failure. */
const program = new Command('fuzz')
	.option('--seconds <number>', 'how long to go on', Number, 60)
	.option('--seed <number>', 'the first seed', Number, 1)
	.parse();

const {seconds, seed} = program.opts<{seconds: number; seed: number}>();
const endsAt = Date.now() + (seconds * 1000);
const totals = new Map(Object.keys(FUZZ_SYSTEMS).map(name => [name, {runs: 0, commands: 0, failures: 0}]));

for (let round = seed; Date.now() < endsAt; round += 1) {
	for (const [name, fuzz] of Object.entries(FUZZ_SYSTEMS)) {
		const result = fuzz({seed: round, runs: RUNS_A_ROUND, mutation: 'none'});
		const total = totals.get(name)!;
		total.runs += result.runs;
		total.commands += result.commands;
		if (result.failure !== undefined) {
			total.failures += 1;
			process.stdout.write(`FAILED ${name} seed=${round} ${result.failure}\n`);
		}
	}
}

for (const [name, {runs, commands, failures}] of totals) {
	process.stdout.write(`FUZZ system=${name} runs=${runs} commands=${commands} failures=${failures}\n`);
}

process.exitCode = [...totals.values()].some(total => total.failures > 0) ? 1 : 0;
