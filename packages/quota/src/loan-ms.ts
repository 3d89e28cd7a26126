/**
 * Time for which a loan is valid after the report with which the borrower requested or renewed it, in milliseconds. It is longer than the
 * election of another leader takes, so that borrowers can serve requests meanwhile.
 */
export const LOAN_MS = 4000;
