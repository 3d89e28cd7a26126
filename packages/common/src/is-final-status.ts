const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 599;

/** True if a response may end with this status. Node's parser accepts any three digits, but its server throws when it is to send some of them. */
export const isFinalStatus = (status: number): boolean => status >= MIN_FINAL_STATUS && status <= MAX_STATUS;
