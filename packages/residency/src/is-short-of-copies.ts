/** An engine is short of copies if it keeps less than this part of what is usual. Smaller differences are no reason to move work. */
const FEW_COPIES_SHARE = 0.5;

/** Whether an engine keeps so few copies that it can load few models quickly, such as one that has just replaced another. */
export const isShortOfCopies = (copies: number, usualCopies: number): boolean => copies < usualCopies * FEW_COPIES_SHARE;
