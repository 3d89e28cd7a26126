import {RESULT_CODE, ValeleadError} from '@valelead/common';

/** Throws a ValeleadError if one of the given objects still refers to the named object. */
export const requireUnused = <User extends {readonly name: string}>(users: readonly User[], isUser: (user: User) => boolean, name: string): void => {
	const user = users.find(candidate => isUser(candidate));
	if (user) {
		throw new ValeleadError(`${name} is still used by ${user.name}`, {code: RESULT_CODE.StillInUse});
	}
};
