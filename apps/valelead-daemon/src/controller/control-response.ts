/** An HTTP response of the control interface. */
export type ControlResponse = {
	readonly status: number;
	readonly body: string;
	readonly location?: string;
};
