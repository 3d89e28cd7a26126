import assert from 'node:assert/strict';
import {Then} from '@cucumber/cucumber';
import {getElectionMs} from './get-election-ms.js';
import {getRestartElectionMs} from './get-restart-election-ms.js';

const DELAY_MS = 5;

const checkMean = (times: readonly number[], limitMs: number): void => {
	const mean = times.reduce((sum, time) => sum + time, 0) / times.length;
	assert.ok(mean <= limitMs, `${Math.round(mean)} ms`);
};

Then('after {int} of {int} voters fail, a leader is elected within {int} ms in the mean of {int} seeds', (dead: number, voters: number, limitMs: number, count: number) => {
	const times = Array.from({length: count}, (_, index) => getElectionMs(index + 1, {voters, dead, delayMs: DELAY_MS}));
	checkMean(times, limitMs);
});

Then('after {int} voters were killed and {int} of them lost, the others elect a leader within {int} ms in the mean of {int} seeds', (voters: number, lost: number, limitMs: number, count: number) => {
	checkMean(Array.from({length: count}, (_, index) => getRestartElectionMs(index + 1, {voters, lost})), limitMs);
});
