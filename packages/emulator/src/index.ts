export {VirtualClock} from './virtual-clock.js';
export {Random} from './random.js';
export {EmulatedEngine} from './emulated-engine.js';
export {WeightStore} from './weight-store.js';
export type {RunTerms} from './run-terms.js';
export type {EngineRun} from './engine-run.js';
export type {EngineTerms} from './engine-terms.js';
export type {ModelTerms} from './model-terms.js';
export type {LengthTerms} from './length-terms.js';
