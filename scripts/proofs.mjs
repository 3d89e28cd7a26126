#!/usr/bin/env node
// Runs all scenarios and prints, for each point that must always hold, what proves it. The gaps that are known
// stand in docs/PROOFS.md; a point with a gap there is never called proved.
import {spawnSync} from 'node:child_process';
import {readFileSync} from 'node:fs';
import process from 'node:process';

const POINTS = 9;

spawnSync(process.execPath, ['scripts/test.mjs'], {stdio: ['ignore', 'ignore', 'inherit']});
const features = JSON.parse(readFileSync('tests/dist/report.json', 'utf8'));
const scenarios = features.flatMap(feature => feature.elements.map(element => ({
	feature: feature.uri,
	tags: element.tags.map(tag => tag.name),
	isPassed: element.steps.every(step => step.result.status === 'passed'),
})));
const gaps = new Set([...readFileSync('docs/PROOFS.md', 'utf8').matchAll(/^- GAP (?<point>\d)/gmv)].map(match => Number(match.groups.point)));

let isGreen = true;
for (let point = 1; point <= POINTS; point += 1) {
	const own = scenarios.filter(scenario => scenario.tags.includes(`@point${point}`));
	const off = own.filter(scenario => scenario.tags.includes('@off'));
	const isPassed = own.length > 0 && own.every(scenario => scenario.isPassed);
	const isWhole = isPassed && off.length > 0 && !gaps.has(point);
	const partial = isPassed ? 'partial' : 'unproved';
	const files = [...new Set(own.map(scenario => scenario.feature))].join(',');
	const offResult = off.every(scenario => scenario.isPassed) ? 'fails' : 'passes';
	process.stdout.write(`POINT ${point} ${isWhole ? 'proved' : partial} tests=${own.length}:${files} with-mechanism-off=${off.length === 0 ? 'not-run' : offResult}\n`);
	isGreen &&= isPassed;
}

process.exitCode = isGreen ? 0 : 1;
