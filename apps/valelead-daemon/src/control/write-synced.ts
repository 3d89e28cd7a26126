import {open, rename} from 'node:fs/promises';
import path from 'node:path';

/** Writes a file and syncs it to the disk, so that after a crash the file is either complete or absent. */
export const writeSynced = async (file: string, text: string): Promise<void> => {
	const temporary = `${file}.tmp`;
	const handle = await open(temporary, 'w');
	await handle.writeFile(text);
	await handle.sync();
	await handle.close();
	await rename(temporary, file);
	const folder = await open(path.dirname(file), 'r');
	await folder.sync();
	await folder.close();
};
