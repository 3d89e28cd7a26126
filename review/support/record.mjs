import {writeFileSync} from 'node:fs';

/** What was sent, answered and run, in the order in which it was seen; written to a file at the end. */
export class Record {
	#lines = [];
	#startedAt = performance.now();

	note(what, fields) {
		const at = Math.round(performance.now() - this.#startedAt);
		const text = Object.entries(fields).map(([name, value]) => `${name}=${value}`).join(' ');
		this.#lines.push(`${String(at).padStart(6)} ms ${what} ${text}`);
	}

	save(file, summary) {
		writeFileSync(file, [...summary, '', ...this.#lines, ''].join('\n'));
	}
}
