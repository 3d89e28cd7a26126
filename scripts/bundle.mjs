#!/usr/bin/env node
// Bundles the programs, each as one file that starts quickly, beside the state charts that it reads: the daemon with the platform's adapter into target/,
// as it is deployed, and the installed commands into the folders of their packages. With arguments only those that go into these folders.
import {copyFileSync, mkdirSync, readdirSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';

const PROGRAMS = [
	{source: 'platform/src/main.ts', folder: 'target', name: 'valelead.mjs'},
	{source: 'platform/src/main.ts', folder: 'platform/dist', name: 'valelead-platform.mjs'},
	{source: 'apps/valelead-daemon/src/main.ts', folder: 'apps/valelead-daemon/dist', name: 'valeleadd.mjs'},
	{source: 'apps/valelead-cli/src/main.ts', folder: 'apps/valelead-cli/dist', name: 'valelead.mjs'},
];

/** Takes the sources of the workspace's own packages, so that nothing needs to be compiled first. */
const WORKSPACE_SOURCES = {
	name: 'workspace-sources',
	setup(bundle) {
		bundle.onResolve({filter: /^@valelead\//}, ({path: specifier}) => {
			const [, name, file = 'index'] = specifier.split('/');
			return {path: path.resolve('packages', name, 'src', `${file}.ts`)};
		});
		bundle.onResolve({filter: /^valelead-daemon$/}, () => ({path: path.resolve('apps/valelead-daemon/src/index.ts')}));
	},
};

const bundleProgram = async ({source, folder, name}) => build({
	entryPoints: [source],
	outfile: path.join(folder, 'bin', name),
	bundle: true,
	platform: 'node',
	format: 'esm',
	target: 'node20',
	minifySyntax: true,
	minifyWhitespace: true,
	keepNames: false,
	sourcemap: false,
	legalComments: 'none',
	banner: {js: 'import {createRequire} from \'node:module\'; const require = createRequire(import.meta.url);'},
	plugins: [WORKSPACE_SOURCES],
});

const listCharts = () => readdirSync('packages').flatMap(name => {
	const folder = path.join('packages', name, 'charts');
	try {
		return readdirSync(folder).map(file => path.join(folder, file));
	} catch {
		// Most packages have no charts.
		return [];
	}
});

const copyCharts = (charts, folder) => {
	mkdirSync(path.join(folder, 'charts'), {recursive: true});
	for (const chart of charts) {
		copyFileSync(chart, path.join(folder, 'charts', path.basename(chart)));
	}
};

const charts = listCharts();
const folders = process.argv.slice(2);
const wanted = PROGRAMS.filter(({folder}) => folders.length === 0 || folders.includes(folder));
await Promise.all(wanted.map(async program => {
	await bundleProgram(program);
	copyCharts(charts, program.folder);
}));
