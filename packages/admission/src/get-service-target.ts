/** Returns the target for requests to a service without models. It cannot collide with a unit's target, as no unit key contains a slash. */
export const getServiceTarget = (service: string): string => `service/${service}`;
