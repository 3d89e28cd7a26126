import fc from 'fast-check';
import {FakeQuorum} from './fake-quorum.js';
import {QUORUM_COMMANDS} from './quorum-commands.js';
import type {Mutation} from './mutation.js';

type FuzzOptions = {
	readonly seed: number;
	readonly runs: number;
	readonly mutation: Mutation;
	readonly maxCommands?: number;
};

/** What a fuzzing run tried and found. */
type FuzzResult = {
	readonly commands: number;
	/** The shrunk failure, or undefined if all runs passed. */
	readonly failure: string | undefined;
};

/** Drives the shipping consensus code with random commands and faults; the failure found is shrunk. */
export const runQuorumFuzz = ({seed, runs, mutation, maxCommands = 40}: FuzzOptions): FuzzResult => {
	let count = 0;
	const commands = fc.commands([...QUORUM_COMMANDS], {maxCommands, size: 'max'});
	const property = fc.property(commands, fc.nat(), (steps, networkSeed) => {
		const quorum = new FakeQuorum(networkSeed, mutation);
		quorum.advance(1000);
		fc.modelRun(() => ({model: {}, real: quorum}), steps);
		count += [...steps].length;
		quorum.settle();
	});
	const details = fc.check(property, {seed, numRuns: runs, endOnFailure: mutation !== 'none'});
	return {commands: count, failure: details.failed ? `${fc.stringify(details.counterexample)} ${String(details.errorInstance)}` : undefined};
};
