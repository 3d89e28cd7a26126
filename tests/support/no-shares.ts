/** Budget shares of an installation in which no gateway counts. */
export const NO_SHARES = {count: 0, note: () => undefined};
