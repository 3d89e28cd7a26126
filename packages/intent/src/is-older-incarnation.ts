/** Returns true if an incarnation of an agent started before another one. Incarnations begin with their start time in Unix milliseconds. */
export const isOlderIncarnation = (incarnation: string, other: string): boolean => Number.parseInt(incarnation, 10) < Number.parseInt(other, 10);
