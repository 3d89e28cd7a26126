import type {Buffer} from 'node:buffer';

/** A complete body that counts against the memory for bodies until it is released. */
export type HeldBody = {
	readonly bytes: Buffer;
	readonly release: () => void;
};
