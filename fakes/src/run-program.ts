import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {finished} from 'node:stream/promises';
import type {ProgramResult} from './program-result.js';

/** Runs a program of this repository to its end and returns what it printed. */
export const runProgram = async (file: string, parameters: readonly string[]): Promise<ProgramResult> => {
	const child = spawn(process.execPath, [file, ...parameters], {stdio: ['ignore', 'pipe', 'pipe']});
	let stdout = '';
	let stderr = '';
	child.stdout.on('data', chunk => {
		stdout += String(chunk);
	});
	child.stderr.on('data', chunk => {
		stderr += String(chunk);
	});
	const [[status]] = await Promise.all([once(child, 'exit') as Promise<[number | null]>, finished(child.stdout), finished(child.stderr)]);
	return {status, stdout, stderr};
};
