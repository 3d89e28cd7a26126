import fc from 'fast-check';
import type {FuzzOptions} from './fuzz-options.js';
import type {FuzzResult} from './fuzz-result.js';

/** A system under test that can be driven by commands and brought to rest. */
type Fuzzed = {
	readonly settle: () => void;
};

type FuzzTarget<Real extends Fuzzed, Mutation> = {
	readonly commands: ReadonlyArray<fc.Arbitrary<fc.Command<Record<string, never>, Real>>>;
	readonly newReal: (seed: number, mutation: Mutation) => Real;
};

const DEFAULT_MAX_COMMANDS = 40;

/** Drives shipping code with random commands and faults. With all mechanisms on, a failure is shrunk. */
export const runFuzz = <Real extends Fuzzed, Mutation extends string>(target: FuzzTarget<Real, Mutation>, options: FuzzOptions<Mutation>): FuzzResult => {
	let count = 0;
	let runs = 0;
	const commands = fc.commands([...target.commands], {maxCommands: options.maxCommands ?? DEFAULT_MAX_COMMANDS, size: 'max'});
	const property = fc.property(commands, fc.nat(), (steps, seed) => {
		const real = target.newReal(seed, options.mutation);
		runs += 1;
		fc.modelRun(() => ({model: {}, real}), steps);
		count += [...steps].length;
		real.settle();
	});
	const details = fc.check(property, {seed: options.seed, numRuns: options.runs, endOnFailure: options.mutation !== 'none'});
	const failure = details.failed ? `${fc.stringify(details.counterexample)} ${String(details.errorInstance)}` : undefined;
	return {runs, commands: count, failure};
};
