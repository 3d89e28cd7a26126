import type {ConsensusEffect} from './consensus-effect.js';

/** An effect that changes the stored log or hard state. */
export type PersistEffect = Extract<ConsensusEffect, {kind: 'persistHardState' | 'persistEntries' | 'persistSnapshot'}>;
