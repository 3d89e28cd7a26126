import type fc from 'fast-check';
import type {FakeQuorum} from './fake-quorum.js';

/** The model is the quorum's own oracle, so that nothing is kept here. */
type Model = Record<string, never>;

/** One step of a fuzzing run. */
export type QuorumCommand = fc.Command<Model, FakeQuorum>;
