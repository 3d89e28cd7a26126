/** Marks the default case of an exhaustive switch: it fails to compile if a case is missing, and throws if it is reached at run time. */
export const assertNever = (value: never): never => {
	throw new Error(`Unexpected value: ${JSON.stringify(value)}`);
};
