import type {ORDER_RESULT} from './order-result.js';

/** One of the values of ORDER_RESULT. */
export type OrderResultValue = (typeof ORDER_RESULT)[keyof typeof ORDER_RESULT];
