import type {OriginRegister, RouteChange} from '@valelead/stream-origin';

/** The part of a voter that keeps the services of moved routes in the replicated log. */
export type RouteLog = {
	readonly node: {readonly term: number; readonly canRead: boolean} | undefined;
	readonly machine: {readonly routes: OriginRegister};
	/** Resolves once the change is committed and applied. */
	readonly changeRoutes: (change: RouteChange) => Promise<void>;
};
