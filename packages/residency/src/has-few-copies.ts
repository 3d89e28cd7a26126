/** An engine has few copies if it has less than this share of the usual number. Smaller differences do not justify moving work. */
const FEW_COPIES_SHARE = 0.5;

/** True if an engine has so few copies that it can load few models quickly, such as a newly started replacement. */
export const hasFewCopies = (copies: number, usualCopies: number): boolean => copies < usualCopies * FEW_COPIES_SHARE;
