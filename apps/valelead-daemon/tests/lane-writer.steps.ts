import assert from 'node:assert/strict';
import {Writable} from 'node:stream';
import {setTimeout as wait} from 'node:timers/promises';
import {Then, When} from '@cucumber/cucumber';
import {create} from '@bufbuild/protobuf';
import {FrameSchema} from '@valelead/protocol';
import {LaneWriter} from 'valelead-daemon';

type LaneWorld = {
	taken: number;
};

/** The pause between two frames, in milliseconds. */
const WRITE_MS = 10;

const newEndedLane = (): ConstructorParameters<typeof LaneWriter>[0] => {
	const lane = new Writable({
		objectMode: true,
		write(_update, _encoding, done) {
			done();
		},
	});
	lane.on('error', () => undefined);
	lane.end();
	return lane as unknown as ConstructorParameters<typeof LaneWriter>[0];
};

When('{int} frames are written one after the other to a lane that has ended', function (this: LaneWorld, count: number) {
	const writer = new LaneWriter(newEndedLane());
	this.taken = 0;
	const write = async (): Promise<void> => {
		for (let sequence = 0; sequence < count; sequence += 1) {
			await writer.addFrame(create(FrameSchema, {attemptId: 'a', sequence}));
			this.taken += 1;
			await wait(WRITE_MS);
		}
	};

	void write();
});

Then('all {int} writes completed within {int} ms', async function (this: LaneWorld, count: number, limitMs: number) {
	await wait(limitMs);
	assert.equal(this.taken, count);
});
