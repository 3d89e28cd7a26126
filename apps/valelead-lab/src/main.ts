import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {ValeleadError} from '@valelead/common';
import {Command, InvalidArgumentError} from 'commander';
import {formatFigures} from './format-figures.js';
import {getPlayFigures} from './get-play-figures.js';
import type {PlayFigures} from './play-figures.js';
import {playPattern} from './play-pattern.js';
import {readFigures} from './read-figures.js';
import {readPattern} from './read-pattern.js';

type Options = {
	readonly seeds: number;
	readonly first: number;
	readonly save?: string;
	readonly against?: string;
	readonly log: boolean;
};

const parseCount = (text: string): number => {
	const count = Number(text);
	if (!Number.isInteger(count) || count < 1) {
		throw new InvalidArgumentError('a whole number above 0 is expected');
	}

	return count;
};

const play = async (names: readonly string[], {seeds, first, save, against, log}: Options): Promise<void> => {
	const before = readFigures(against);
	const all: Record<string, PlayFigures[]> = {};
	for (const name of names) {
		const pattern = readPattern(name);
		all[name] = [];
		for (let seed = first; seed < first + seeds; seed += 1) {
			all[name].push(getPlayFigures(pattern, await playPattern(pattern, seed, log)));
		}

		process.stdout.write(formatFigures(name, all[name], before[name]));
	}

	if (save !== undefined) {
		writeFileSync(save, JSON.stringify(all));
	}
};

const program = new Command('valelead-lab')
	.description('plays patterns of load against the shipped decisions in virtual time')
	.argument('<patterns...>', 'names of the patterns that come with the laboratory, or JSON files')
	.option('--seeds <count>', 'plays of each pattern', parseCount, 8)
	.option('--first <seed>', 'the first seed', parseCount, 1)
	.option('--save <file>', 'writes the figures of all plays as JSON')
	.option('--against <file>', 'compares with figures saved before, seed by seed')
	.option('--log', 'writes the decisions to standard error', false)
	.action(async (names: readonly string[], options: Options) => play(names, options));

try {
	await program.parseAsync();
} catch (error) {
	if (!(error instanceof ValeleadError)) {
		throw error;
	}

	process.stderr.write(`error ${error.code}: ${error.message}\n`);
	process.exitCode = 1;
}
