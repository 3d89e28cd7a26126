/** The software versions, by service, of the upstreams at which streams may have begun lately. */
export type VersionRegister = Map<string, Set<string>>;
