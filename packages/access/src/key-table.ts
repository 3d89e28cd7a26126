/** Maps the digest of each key to the name of its team. */
export type KeyTable = ReadonlyMap<string, string>;
