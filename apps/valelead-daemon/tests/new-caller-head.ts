import type {CallerRequest} from 'valelead-daemon';

/** What the headers of a request say that names no model and resumes no stream. */
export const newCallerHead = (id: string, changes: Partial<CallerRequest> = {}): CallerRequest => ({
	id,
	deadlineMs: undefined,
	model: '',
	adapter: '',
	promptTokens: 0,
	maxNewTokens: 0,
	sharedSegments: [],
	hasTokenCount: false,
	isTokenCountValid: true,
	lastEventId: '',
	resumedRequestId: '',
	key: undefined,
	...changes,
});
