import type {ConsensusEffect} from './consensus-effect.js';
import type {PersistEffect} from './persist-effect.js';

/** Whether an effect must be synced before the effects after it are carried out. */
export const isPersistEffect = (effect: ConsensusEffect): effect is PersistEffect => effect.kind === 'persistHardState' || effect.kind === 'persistEntries' || effect.kind === 'persistSnapshot';
