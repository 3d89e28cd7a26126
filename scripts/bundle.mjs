#!/usr/bin/env node
// Bundles the programs, each as one file that starts quickly, beside the state charts that it reads: the daemon with the platform's adapter into target/,
// as it is deployed, and the installed commands into the folders of their packages. With arguments only those that go into these folders.
import {
	copyFileSync, mkdirSync, readdirSync, writeFileSync,
} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';

const PROGRAMS = [
	{source: 'platform/src/main.ts', outputs: [{folder: 'target', name: 'valelead.mjs'}, {folder: 'platform/dist', name: 'valelead-platform.mjs'}]},
	{source: 'apps/valelead-daemon/src/main.ts', outputs: [{folder: 'apps/valelead-daemon/dist', name: 'valeleadd.mjs'}]},
	{source: 'apps/valelead-cli/src/main.ts', outputs: [{folder: 'apps/valelead-cli/dist', name: 'valelead.mjs'}]},
];

/** The programs are commands that a shell starts. */
const EXECUTABLE_MODE = 0o755;

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

const bundleProgram = async source => build({
	entryPoints: [source],
	write: false,
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

const listCharts = () => ['packages', 'apps'].flatMap(parent => readdirSync(parent).flatMap(name => {
	const folder = path.join(parent, name, 'charts');
	try {
		return readdirSync(folder).map(file => path.join(folder, file));
	} catch {
		// Most packages have no charts.
		return [];
	}
}));

const copyCharts = (charts, folder) => {
	mkdirSync(path.join(folder, 'charts'), {recursive: true});
	for (const chart of charts) {
		copyFileSync(chart, path.join(folder, 'charts', path.basename(chart)));
	}
};

const charts = listCharts();
const folders = process.argv.slice(2);
const isWanted = ({folder}) => folders.length === 0 || folders.includes(folder);
await Promise.all(PROGRAMS.filter(({outputs}) => outputs.some(output => isWanted(output))).map(async ({source, outputs}) => {
	const {outputFiles: [{contents}]} = await bundleProgram(source);
	for (const {folder, name} of outputs.filter(output => isWanted(output))) {
		mkdirSync(path.join(folder, 'bin'), {recursive: true});
		writeFileSync(path.join(folder, 'bin', name), contents, {mode: EXECUTABLE_MODE});
		copyCharts(charts, folder);
	}
}));
