import assert from 'node:assert/strict';
import {Then} from '@cucumber/cucumber';
import {isBalancerDrained} from 'valelead-daemon';

Then('a gateway that {word} balancer checks is drained {string} {int} ms after its stop and {int} ms after a connection, with {int} failed checks', (
	article: string,
	drained: string,
	stopMs: number,
	acceptedMs: number,
	failedChecks: number,
) => {
	const isDrained = isBalancerDrained({
		stopMs, acceptedMs, failedChecks, isChecked: article === 'a',
	});
	assert.equal(String(isDrained), drained);
});
