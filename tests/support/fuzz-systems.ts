import {newLossFuzz} from '../../packages/consensus/tests/new-loss-fuzz.js';
import {runQuorumFuzz} from '../../packages/consensus/tests/run-quorum-fuzz.js';
import type {Mutation} from '../../packages/consensus/tests/mutation.js';
import {runFleetFuzz} from '../fleet/run-fleet-fuzz.js';
import type {FleetMutation} from '../fleet/fleet-mutation.js';
import {runRequestFuzz} from '../requests/run-request-fuzz.js';
import type {RequestMutation} from '../requests/request-mutation.js';
import type {FuzzOptions} from './fuzz-options.js';
import type {FuzzResult} from './fuzz-result.js';

type FuzzSystem = (options: FuzzOptions<string>) => FuzzResult;

const newLossSystem = (size: number, losses: number, isForming = false): FuzzSystem => options => newLossFuzz({size, losses, isForming})(options as FuzzOptions<Mutation>);

/** The systems that are fuzzed, by name. */
export const FUZZ_SYSTEMS: Readonly<Record<string, FuzzSystem>> = {
	quorum: options => runQuorumFuzz(options as FuzzOptions<Mutation>),
	'quorum of 3 losing 1': newLossSystem(3, 1),
	'quorum of 4 losing 1': newLossSystem(4, 1),
	'quorum of 5 losing 2': newLossSystem(5, 2),
	'quorum of 6 losing 2': newLossSystem(6, 2),
	'quorum of 8 losing 2': newLossSystem(8, 2),
	'forming quorum of 3 losing 1': newLossSystem(3, 1, true),
	'forming quorum of 5 losing 2': newLossSystem(5, 2, true),
	'forming quorum of 6 losing 2': newLossSystem(6, 2, true),
	fleet: options => runFleetFuzz(options as FuzzOptions<FleetMutation>),
	requests: options => runRequestFuzz(options as FuzzOptions<RequestMutation>),
};
