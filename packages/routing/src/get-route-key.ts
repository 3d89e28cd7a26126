import type {Route} from './route.js';

/** Returns the part of the URLs by which a route is found: its host in lower case, and its path prefix. */
export const getRouteKey = ({host, pathPrefix}: Pick<Route, 'host' | 'pathPrefix'>): string => `${host.toLowerCase()}${pathPrefix}`;
