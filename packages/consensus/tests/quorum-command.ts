import type fc from 'fast-check';
import type {FakeQuorum} from './fake-quorum.js';

/** The model is empty, because the simulated quorum checks itself with its own oracle. */
type Model = Record<string, never>;

/** One step of a fuzzing run. */
export type QuorumCommand = fc.Command<Model, FakeQuorum>;
