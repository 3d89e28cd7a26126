/** The target of a plain service. No unit key holds a slash. */
export const getServiceTarget = (service: string): string => `service/${service}`;
