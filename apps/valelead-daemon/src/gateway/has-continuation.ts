import {type StreamOrigin, canContinue} from '@valelead/stream-origin';
import type {EngineView} from './engine-view.js';

/** True if some upstream that may receive requests may continue a stream, whether or not it has loaded the model. */
export const hasContinuation = (views: ReadonlyMap<string, EngineView>, origin: StreamOrigin): boolean =>
	[...views.values()].some(({upstream}) => canContinue(origin, upstream));
