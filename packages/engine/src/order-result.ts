/** How an order ended. `unknown` means that it may still take effect. */
export type OrderResult = 'done' | 'refused' | 'unknown';
