import assert from 'node:assert/strict';
import {Then} from '@cucumber/cucumber';
import {getElectionMs} from './get-election-ms.js';

const DELAY_MS = 5;

Then('after {int} of {int} voters were lost a leader is found within {int} ms in the mean of {int} seeds', (dead: number, voters: number, limitMs: number, count: number) => {
	const times = Array.from({length: count}, (_, index) => getElectionMs(index + 1, {voters, dead, delayMs: DELAY_MS}));
	const mean = times.reduce((sum, time) => sum + time, 0) / count;
	assert.ok(mean <= limitMs, `${Math.round(mean)} ms`);
});
