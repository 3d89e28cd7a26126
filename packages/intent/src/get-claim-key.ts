/** Returns the key under which a claim is stored. Team names contain no line breaks, so keys of different teams never collide. */
export const getClaimKey = (team: string, key: string): string => `${team}\n${key}`;
