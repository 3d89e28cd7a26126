import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

const newCollector = (): () => void => {
	setFlagsFromString('--expose-gc');
	return runInNewContext('gc') as () => void;
};

/**
 * Returns a function that collects garbage at once. V8 collects buffers, which lie outside its heap, only after 64 MB of them, as long as the heap itself
 * grows little. The context of the collector is made with the first collection, as most processes need none.
 */
export const newGarbageCollection = (): () => void => {
	let collector: (() => void) | undefined;
	return () => {
		collector ??= newCollector();
		collector();
	};
};
