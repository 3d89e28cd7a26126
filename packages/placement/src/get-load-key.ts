/** The key of a load. */
export const getLoadKey = (unit: string, vm: string): string => `${unit}/${vm}`;
