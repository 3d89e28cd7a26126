/** Body of a worker thread: plays a pattern with one seed and posts the figures of the play. */
import {parentPort, workerData} from 'node:worker_threads';
import {type Pattern, getPlayFigures, playPattern} from 'valelead-lab';

const {pattern, seed} = workerData as {readonly pattern: Pattern; readonly seed: number};
parentPort!.postMessage(getPlayFigures(pattern, await playPattern(pattern, seed)));
