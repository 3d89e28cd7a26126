/** An answer of the control interface. */
export type ControlReply = {
	readonly status: number;
	readonly body: string;
	readonly location?: string;
};
