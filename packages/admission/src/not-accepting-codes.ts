import {RESULT_CODE, type ResultCodeValue} from '@valelead/common';

/** Result codes that report a temporary state of the agent, such as draining. They do not count as failures of its upstream. */
export const NOT_ACCEPTING_CODES: ReadonlySet<ResultCodeValue> = new Set([
	RESULT_CODE.CreditExpired,
	RESULT_CODE.UnitNotReady,
	RESULT_CODE.Draining,
	RESULT_CODE.UpstreamLeaving,
	RESULT_CODE.ConfigurationTooOld,
]);
