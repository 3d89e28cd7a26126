import {hasFewCopies} from '@valelead/residency';
import type {EngineView} from './engine-view.js';

/** True if some engine has few copies on its disk, and no such engine is among the replicas of the model. */
export const isOffloadReplicaMissing = (views: readonly EngineView[], replicas: readonly EngineView[]): boolean => {
	const mostCopies = Math.max(...views.map(view => view.copiesOnDisk.length));
	const hasFew = (view: EngineView): boolean => hasFewCopies(view.copiesOnDisk.length, mostCopies);
	return views.some(view => hasFew(view)) && !replicas.some(view => hasFew(view));
};
