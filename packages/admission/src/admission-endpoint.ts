/** A VM that can serve a target. */
export type AdmissionEndpoint = {
	readonly vm: string;
	readonly dataCentre: string;
};
