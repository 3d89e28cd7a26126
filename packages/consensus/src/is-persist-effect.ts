import type {ConsensusEffect} from './consensus-effect.js';
import type {PersistEffect} from './persist-effect.js';

/** True if an effect must be synced before the effects that follow it are executed. */
export const isPersistEffect = (effect: ConsensusEffect): effect is PersistEffect => effect.kind === 'persistHardState' || effect.kind === 'persistEntries' || effect.kind === 'persistSnapshot';
