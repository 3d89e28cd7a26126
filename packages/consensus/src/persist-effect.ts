import type {ConsensusEffect} from './consensus-effect.js';

/** The effects that change what is stored. */
export type PersistEffect = Extract<ConsensusEffect, {kind: 'persistHardState' | 'persistEntries' | 'persistSnapshot'}>;
