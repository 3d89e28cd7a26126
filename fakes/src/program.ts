import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {createWriteStream} from 'node:fs';
import process from 'node:process';

/** A program of this repository that runs as a process of its own. */
export class Program {
	readonly #file: string;
	readonly #arguments: readonly string[];
	readonly #logFile: string;
	readonly #environment: Readonly<Record<string, string>>;
	#child: ChildProcess | undefined;

	/** @param environment - Variables beside those of this process. */
	constructor(file: string, parameters: readonly string[], logFile: string, environment: Readonly<Record<string, string>> = {}) {
		this.#file = file;
		this.#arguments = parameters;
		this.#logFile = logFile;
		this.#environment = environment;
	}

	get pid(): number {
		return this.#child?.pid ?? 0;
	}

	get isRunning(): boolean {
		return this.#child !== undefined && this.#child.exitCode === null && this.#child.signalCode === null;
	}

	start(): void {
		const log = createWriteStream(this.#logFile, {flags: 'a'});
		this.#child = spawn(process.execPath, [this.#file, ...this.#arguments], {stdio: ['ignore', 'pipe', 'pipe'], env: {...process.env, ...this.#environment}});
		this.#child.stdout!.pipe(log, {end: false});
		this.#child.stderr!.pipe(log, {end: false});
	}

	signal(signal: NodeJS.Signals): void {
		this.#child?.kill(signal);
	}

	/** Resolves with the exit status once the process has ended. */
	async exited(): Promise<number | null> {
		if (!this.#child || !this.isRunning) {
			return this.#child?.exitCode ?? 0;
		}

		const [code] = await once(this.#child, 'exit') as [number | null];
		return code;
	}

	async kill(): Promise<void> {
		this.signal('SIGKILL');
		await this.exited();
	}
}
