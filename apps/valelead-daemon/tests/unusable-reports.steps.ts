import assert from 'node:assert/strict';
import {PassThrough} from 'node:stream';
import {create} from '@bufbuild/protobuf';
import {Given, Then, When} from '@cucumber/cucumber';
import {FollowerReportSchema, SessionReportSchema} from '@valelead/protocol';
import {pino} from 'pino';
import {ControlSessions} from 'valelead-daemon';

type ReportsWorld = {
	streams: Map<string, PassThrough>;
	/** VMs at whose reports the voter throws. */
	faulty: Set<string>;
	handled: string[];
	/** VMs whose sessions ended with an error. */
	ended: string[];
};

const report = ({streams}: ReportsWorld, vm: string): void => {
	streams.get(vm)!.emit('data', create(SessionReportSchema, {report: {case: 'follower', value: create(FollowerReportSchema, {vm})}}));
};

Given('a voter with sessions of {string} and {string}', function (this: ReportsWorld, first: string, second: string) {
	this.streams = new Map();
	this.faulty = new Set();
	this.handled = [];
	this.ended = [];
	const sessions = new ControlSessions({
		followers: {
			handleReport: (_stream, {vm}) => {
				if (this.faulty.has(vm)) {
					throw new RangeError('out of range');
				}

				this.handled.push(vm);
			},
		},
		logger: pino({level: 'silent'}),
	} as ConstructorParameters<typeof ControlSessions>[0]);
	for (const vm of [first, second]) {
		const stream = new PassThrough({objectMode: true});
		stream.on('error', () => {
			this.ended.push(vm);
		});
		this.streams.set(vm, stream);
		sessions.accept(stream as never);
		report(this, vm);
	}
});

When('the voter throws at a report of {string}', function (this: ReportsWorld, vm: string) {
	this.faulty.add(vm);
	report(this, vm);
});

Then('the session of {string} is ended with an error', function (this: ReportsWorld, vm: string) {
	assert.deepEqual(this.ended, [vm]);
});

Then('the voter handles the next report of {string}', function (this: ReportsWorld, vm: string) {
	report(this, vm);
	assert.equal(this.handled.at(-1), vm);
	assert.equal(this.handled.length, 3);
});
