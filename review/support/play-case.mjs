import process from 'node:process';
import {Installation} from './installation.mjs';
import {Record} from './record.mjs';

const HELD = 0;
/** What `run.sh` makes a 1 of; a script that cannot be loaded ends with 1. */
const BROKEN = 10;
const NOT_PLAYED = 2;

/**
 * Plays one case and ends the process: with 10 where the rule was broken, 0 where it held, 2 where it could not be played.
 * @param play - Plays it in an installation and resolves with `isBroken`, `isPlayed` and the lines of a summary.
 */
export const playCase = async (recordFile, play) => {
	const record = new Record();
	const ends = [];
	const installation = new Installation((name, status, signal) => {
		ends.push({name, at: performance.now()});
		record.note('process ended', {name, status, signal});
	});
	let status = NOT_PLAYED;
	for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) {
		process.once(signal, async () => {
			await installation.stop();
			process.exit(NOT_PLAYED);
		});
	}

	try {
		const {isBroken, isPlayed, summary} = await play({installation, record, ends});
		record.save(recordFile, summary);
		process.stdout.write(`${summary.join('\n')}\n`);
		if (isBroken) {
			status = BROKEN;
		} else if (isPlayed) {
			status = HELD;
		}
	} catch (error) {
		process.stderr.write(`${error.stack}\n`);
		record.save(recordFile, [`could not be played: ${error.message}`]);
	} finally {
		await installation.stop();
	}

	process.exit(status); // eslint-disable-line unicorn/no-process-exit -- kept connections must not hold up the end
};
