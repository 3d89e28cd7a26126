import {ROUTE_KIND} from './route-kind.js';
import type {Route} from './route.js';

/** Returns true if the route's responses are streams that may be resumed on another upstream. */
export const isResumableStream = ({kind, isResumable}: Pick<Route, 'kind' | 'isResumable'>): boolean => kind === ROUTE_KIND.Stream && isResumable;
