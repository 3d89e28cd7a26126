import {isShortOfCopies} from '@valelead/residency';
import type {EngineView} from './engine-view.js';

/** Whether some engine keeps few copies, and none such holds the model. */
export const isOffloadReplicaMissing = (views: readonly EngineView[], held: readonly EngineView[]): boolean => {
	const mostCopies = Math.max(...views.map(view => view.copiesOnDisk.length));
	const isShort = (view: EngineView): boolean => isShortOfCopies(view.copiesOnDisk.length, mostCopies);
	return views.some(view => isShort(view)) && !held.some(view => isShort(view));
};
