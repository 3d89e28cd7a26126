/** What is named in more than one part of the laboratory. */
export const LAB_NAMES = {
	service: 'llm',
	dataCentre: 'lab',
} as const;
