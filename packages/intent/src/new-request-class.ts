import type {RequestClass} from './request-class.js';

/** A class with the default time and limits. */
export const newRequestClass = (name: string): RequestClass => ({
	name,
	deadlineMs: 30_000,
	weight: 1,
	maxWaiting: 1000,
});
