/** An entry of a register: a service with a software version, or a route with a service. */
export type OriginEntry = {
	readonly name: string;
	readonly value: string;
};
