import {RESULT_CODE, ValeleadError} from '@valelead/common';

/** Creates the error of a call to a controller that got no reply in time. */
export const newCallTimeoutError = (): ValeleadError => new ValeleadError('No reply before the call timeout', {code: RESULT_CODE.NoQuorum});
