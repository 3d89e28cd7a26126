/** States of the connection to an upstream after an attempt failed on it. */
export const CONNECTION_STATE = {
	/** The connection still works, or the gateway closed it. */
	Intact: 'intact',
	/** The upstream's side closed or reset the connection before the response was complete. */
	Broken: 'broken',
	/** The connection was never established, as no process listens at the upstream's address. */
	Refused: 'refused',
} as const;
