import type {Model} from './model.js';

/** Returns a model with the default limits. */
export const newModel = (name: string, memoryBytes: number): Model => ({
	name,
	memoryBytes,
	maxReplicas: 1,
	minReplicas: 0,
	class: 'default',
	teams: [],
	version: 'v1',
	versions: ['v1'],
	isStopped: false,
});
