export type {KeyFault} from './key-fault.js';
export type {TeamKeys} from './team-keys.js';
export type {KeyTable} from './key-table.js';
export {getKeyFaults} from './get-key-faults.js';
export {getTeamOfKey} from './get-team-of-key.js';
export {hashKey} from './hash-key.js';
export {isEqualHash} from './is-equal-hash.js';
export {newKeyTable} from './new-key-table.js';
