/** The result of a load or unload order. `unknown` means that the order may still take effect. */
export type OrderResult = 'done' | 'refused' | 'unknown';
