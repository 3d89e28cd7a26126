/** Throws if a condition that must always hold is false. */
export function invariant(condition: unknown, message: string): asserts condition {
	if (!condition) {
		throw new Error(`Invariant violated: ${message}`);
	}
}
