import assert from 'node:assert/strict';
import {create} from '@bufbuild/protobuf';
import {Given, Then} from '@cucumber/cucumber';
import {EngineReportSchema} from '@valelead/protocol';
import {newUpstream} from '../../../tests/support/new-upstream.js';
import {EngineFleet} from 'valelead-daemon';

type FleetWorld = {
	gateways: number;
	slots: number;
	others: number | undefined;
	own: number;
};

const ENGINE = 'e';
const ADDRESS = '10.0.0.1:80';
const TABLE = {services: new Map()};

Given('{int} gateways and an engine of {int} slots with {int} requests of other gateways in progress', function (this: FleetWorld, gateways: number, slots: number, others: number) {
	Object.assign(this, {
		gateways, slots, others, own: 0,
	});
});

Given('{int} gateways and an engine of {int} slots without a report', function (this: FleetWorld, gateways: number, slots: number) {
	Object.assign(this, {
		gateways, slots, others: undefined, own: 0,
	});
});

Given('{int} more request of this gateway', function (this: FleetWorld, own: number) {
	this.own = own;
});

Then('the concurrency limit of a gateway is {int}', function (this: FleetWorld, limit: number) {
	const fleet = new EngineFleet();
	fleet.setUpstreams([newUpstream(ENGINE, {address: ADDRESS, slots: this.slots})]);
	if (this.others !== undefined) {
		fleet.setReport(ADDRESS, create(EngineReportSchema, {upstreamId: ENGINE, inProgress: this.others + this.own}));
	}

	fleet.refresh(TABLE as never, this.gateways, () => this.own);
	const [endpoint] = [...fleet.endpoints.values()].flat();
	assert.equal(endpoint.concurrencyLimit, limit);
});
