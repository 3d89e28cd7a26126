import type {REQUEST_STAGE} from './request-stage.js';

/** A value of `REQUEST_STAGE`. */
export type RequestStageValue = (typeof REQUEST_STAGE)[keyof typeof REQUEST_STAGE];
