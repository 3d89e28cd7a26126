/** Memory that a chunk occupies beside its bytes, in bytes. It dominates if a peer sends chunks of one byte. */
export const CHUNK_OVERHEAD_BYTES = 256;
