import {createWriteStream} from 'node:fs';

const startedAt = Date.now();

/** Writes what happens to the case's `record.txt`, with seconds since the start of the script. */
export class Record {
	#file;

	constructor(path) {
		this.#file = createWriteStream(path);
	}

	note(text, at = Date.now()) {
		this.#file.write(`${((at - startedAt) / 1000).toFixed(3).padStart(8)} s  ${text}\n`);
	}

	async end() {
		return new Promise(resolve => {
			this.#file.end(resolve);
		});
	}
}
