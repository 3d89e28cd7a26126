import type fc from 'fast-check';
import type {FakeTraffic} from './fake-traffic.js';

/** The model is the traffic's own oracle, so that nothing is kept here. */
type Model = Record<string, never>;

/** One step of a fuzzing run. */
export type RequestCommand = fc.Command<Model, FakeTraffic>;
