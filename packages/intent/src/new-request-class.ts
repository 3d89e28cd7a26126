import type {RequestClass} from './request-class.js';

/** Returns a request class with the default deadline and limits. */
export const newRequestClass = (name: string): RequestClass => ({
	name,
	deadlineMs: 30_000,
	weight: 1,
	maxWaiting: 1000,
});
