/** The answer to a call, or the error where none came. */
export const tryCall = async call => {
	try {
		return await call();
	} catch (error) {
		return error;
	}
};
