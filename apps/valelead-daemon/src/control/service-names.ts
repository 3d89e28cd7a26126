/** The names of the services of a routing. */
export type ServiceNames = {
	readonly all: ReadonlySet<string>;
	/** Those whose upstreams take orders. */
	readonly engines: ReadonlySet<string>;
};
