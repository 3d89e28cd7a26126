import type {UnitNeed} from './unit-need.js';
import type {Wait} from './wait.js';

/** The waits of all requests for a model, including those for one of its adapters. */
export const getWaits = (needs: readonly UnitNeed[], model: string): Wait[] => needs.filter(need => need.model === model).flatMap(need => need.waits);
