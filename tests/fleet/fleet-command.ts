import type fc from 'fast-check';
import type {FakeFleet} from './fake-fleet.js';

/** The model is the fleet's own oracle, so that nothing is kept here. */
type Model = Record<string, never>;

/** One step of a fuzzing run. */
export type FleetCommand = fc.Command<Model, FakeFleet>;
