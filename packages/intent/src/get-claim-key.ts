/** The key of a claim. A team name holds no line break, so teams cannot meet. */
export const getClaimKey = (team: string, key: string): string => `${team}\n${key}`;
