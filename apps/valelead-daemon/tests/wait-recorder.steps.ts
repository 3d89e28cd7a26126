import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {pino} from 'pino';
import {REQUEST_STAGE, type RequestWait} from '@valelead/admission';
import {Metrics, WaitRecorder} from 'valelead-daemon';

type Line = {readonly event: string; readonly requestId: string; readonly omitted: number; readonly dispatchedBefore: Record<string, number>};

type WaitWorld = {
	metrics: Metrics;
	lines: Line[];
};

const WAIT: RequestWait = {
	team: 'team', className: 'routine', target: 'model', stage: REQUEST_STAGE.Late, waitedMs: 400, overdueMs: 192, classShare: 0.7, waiting: 3, dispatchedBefore: new Map([['rare', 2]]),
};

When('a gateway records {int} overdue dispatches, {int} ms after each other, and one in time', function (this: WaitWorld, count: number, periodMs: number) {
	let now = 0;
	this.metrics = new Metrics();
	this.lines = [];
	const logger = pino({}, {
		write: (line: string) => {
			this.lines.push(JSON.parse(line) as Line);
		},
	});
	const recorder = new WaitRecorder({clock: {now: () => now, wallNow: () => now}, logger, metrics: this.metrics});
	const dispatch = {
		kind: 'dispatch', requestId: '1', attemptId: '1.1', vm: 'vm', creditId: '', remainingMs: 1000,
	} as const;
	for (let index = 0; index < count; index += 1) {
		recorder.note({...dispatch, wait: WAIT}, `caller-${index}`);
		now += periodMs;
	}

	recorder.note({
		...dispatch, wait: {
			...WAIT, stage: REQUEST_STAGE.Due, overdueMs: -50, dispatchedBefore: undefined,
		},
	}, 'caller-in-time');
});

Then('{int} lines {string} are logged, with the ids of the callers, and with {int} and {int} omitted requests', function (this: WaitWorld, count: number, event: string, first: number, last: number) {
	assert.equal(this.lines.length, count);
	assert.ok(this.lines.every(line => line.event === event && line.requestId.startsWith('caller-') && line.dispatchedBefore.rare === 2));
	assert.deepEqual(this.lines.map(({omitted}) => omitted), [first, last]);
});

Then('the histogram has {int} requests of stage {string} and {int} of stage {string}', async function (this: WaitWorld, count: number, stage: string, otherCount: number, otherStage: string) {
	const {values} = await this.metrics.stageWait.get();
	const getCount = (label: string): number | undefined => values.find(({metricName, labels}) => metricName?.endsWith('_count') === true && labels.stage === label)?.value;
	assert.equal(getCount(stage), count);
	assert.equal(getCount(otherStage), otherCount);
});
