/** Where streams may have begun lately: software versions by service, or services by route. */
export type OriginRegister = Map<string, Set<string>>;
