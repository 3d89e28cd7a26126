import type {UnitNeed} from './unit-need.js';
import type {Wait} from './wait.js';

/** The requests that wait for a model or for an adapter on it. */
export const getWaits = (needs: readonly UnitNeed[], model: string): Wait[] => needs.filter(need => need.model === model).flatMap(need => need.waits);
