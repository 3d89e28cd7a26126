import {runQuorumFuzz} from '../../packages/consensus/tests/run-quorum-fuzz.js';
import type {Mutation} from '../../packages/consensus/tests/mutation.js';
import {runFleetFuzz} from '../fleet/run-fleet-fuzz.js';
import type {FleetMutation} from '../fleet/fleet-mutation.js';
import {runRequestFuzz} from '../requests/run-request-fuzz.js';
import type {RequestMutation} from '../requests/request-mutation.js';
import type {FuzzOptions} from './fuzz-options.js';
import type {FuzzResult} from './fuzz-result.js';

type FuzzSystem = (options: FuzzOptions<string>) => FuzzResult;

/** The systems that are fuzzed, by name. */
export const FUZZ_SYSTEMS: Readonly<Record<string, FuzzSystem>> = {
	quorum: options => runQuorumFuzz(options as FuzzOptions<Mutation>),
	fleet: options => runFleetFuzz(options as FuzzOptions<FleetMutation>),
	requests: options => runRequestFuzz(options as FuzzOptions<RequestMutation>),
};
