import assert from 'node:assert/strict';
import {create} from '@bufbuild/protobuf';
import {Given, Then, When} from '@cucumber/cucumber';
import {type DirectoryCopy, mutateDirectoryCopy, newDirectoryCopy} from '@valelead/discovery';
import {UpstreamRecordSchema} from '@valelead/protocol';
import {newUpstream} from '../../../tests/support/new-upstream.js';
import {getUsableChanges} from 'valelead-daemon';

type ChangesWorld = {
	copy: DirectoryCopy;
};

const tell = ({copy}: ChangesWorld, id: string, address: string): void => {
	const record = create(UpstreamRecordSchema, newUpstream(id, {address, sequence: copy.version + 1}) as never);
	mutateDirectoryCopy(copy, {
		epoch: 'e', version: copy.version + 1, isWhole: false, upstreams: getUsableChanges([record]),
	}, 0);
};

Given('a follower that knows the upstreams {string} and {string}', function (this: ChangesWorld, first: string, second: string) {
	this.copy = newDirectoryCopy();
	tell(this, first, '127.0.0.1:80');
	tell(this, second, '127.0.0.2:80');
	assert.equal(this.copy.upstreams.size, 2);
});

When('a leader tells it that {string} has the address {string}', function (this: ChangesWorld, id: string, address: string) {
	tell(this, id, address);
});

Then('the follower knows the upstreams {string}', function (this: ChangesWorld, id: string) {
	assert.deepEqual([...this.copy.upstreams.keys()], [id]);
});
