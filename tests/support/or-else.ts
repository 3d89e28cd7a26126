/** The value of a call, or a fallback if the call fails. */
export const orElse = async <Value, Fallback>(call: Promise<Value>, fallback: Fallback): Promise<Value | Fallback> => {
	try {
		return await call;
	} catch {
		return fallback;
	}
};
