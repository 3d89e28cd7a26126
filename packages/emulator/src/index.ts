export {VirtualClock} from './virtual-clock.js';
export {Random} from './random.js';
export {EmulatedEngine} from './emulated-engine.js';
export {WeightStore} from './weight-store.js';
export type {RequestParameters} from './request-parameters.js';
export type {EngineRequest} from './engine-request.js';
export type {EngineParameters} from './engine-parameters.js';
export type {ModelParameters} from './model-parameters.js';
export type {LengthDistribution} from './length-distribution.js';
