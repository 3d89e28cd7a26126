/**
 * Returns the cost of an engine's speed for one more request, in requests in progress. Together with the number in progress it makes the expected time
 * until the engine has done this work the measure of the choice ("shortest expected delay"), in place of the number alone.
 * @param factor - How many times as long as the median of its service the engine takes.
 * @param inProgress - The requests of all gateways that are in progress there.
 */
export const getSpeedCost = (factor: number, inProgress: number): number => (inProgress + 1) * (factor - 1);
