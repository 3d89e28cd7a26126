import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/**
 * Returns a function that collects garbage at once. V8 collects buffers, which lie outside its heap, only after 64 MB of them, as long as the heap itself
 * grows little.
 */
export const newGarbageCollection = (): () => void => {
	setFlagsFromString('--expose-gc');
	return runInNewContext('gc') as () => void;
};
