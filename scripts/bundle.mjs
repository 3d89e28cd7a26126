#!/usr/bin/env node
// Bundles the daemon with the platform's adapter into target/, as one file that starts quickly, beside the state charts that it reads.
import {copyFileSync, mkdirSync, readdirSync} from 'node:fs';
import path from 'node:path';
import {build} from 'esbuild';

const OUTPUT = 'target/bin/valelead.mjs';
const CHARTS = 'target/charts';

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

await build({
	entryPoints: ['platform/src/main.ts'],
	outfile: OUTPUT,
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
mkdirSync(CHARTS, {recursive: true});
for (const name of readdirSync('packages')) {
	const folder = path.join('packages', name, 'charts');
	let files = [];
	try {
		files = readdirSync(folder);
	} catch {
		// Most packages have no charts.
	}

	for (const file of files) {
		copyFileSync(path.join(folder, file), path.join(CHARTS, file));
	}
}
