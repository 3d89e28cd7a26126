/** The key of a load in the placement state: the unit and the VM that loads it. */
export const getLoadKey = (unit: string, vm: string): string => `${unit}/${vm}`;
