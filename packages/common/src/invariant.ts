/** Throws when something that cannot be false is false. */
export function invariant(condition: unknown, message: string): asserts condition {
	if (!condition) {
		throw new Error(`Invariant violated: ${message}`);
	}
}
