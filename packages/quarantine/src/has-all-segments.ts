/** Returns true if a prompt contains all segments of a set. */
export const hasAllSegments = (prompt: readonly string[], set: readonly string[]): boolean => set.every(segment => prompt.includes(segment));
