/** Whether an incarnation started before another. Both begin with their start time in milliseconds. */
export const isOlderIncarnation = (incarnation: string, other: string): boolean => Number.parseInt(incarnation, 10) < Number.parseInt(other, 10);
