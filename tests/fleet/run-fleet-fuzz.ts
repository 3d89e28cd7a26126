import {runFuzz} from '../support/run-fuzz.js';
import type {FuzzOptions} from '../support/fuzz-options.js';
import type {FuzzResult} from '../support/fuzz-result.js';
import {FakeFleet} from './fake-fleet.js';
import {FLEET_COMMANDS} from './fleet-commands.js';
import type {FleetMutation} from './fleet-mutation.js';

/** Fuzzes placement, grants and agents. */
export const runFleetFuzz = (options: FuzzOptions<FleetMutation>): FuzzResult => runFuzz({
	commands: FLEET_COMMANDS,
	newReal(seed, mutation: FleetMutation) {
		const fleet = new FakeFleet(seed, mutation);
		fleet.advance(1000);
		return fleet;
	},
}, options);
