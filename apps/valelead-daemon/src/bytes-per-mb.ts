/** Bytes in a megabyte of the settings. */
export const BYTES_PER_MB = 1_048_576;
