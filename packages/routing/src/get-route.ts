import type {Route} from './route.js';
import type {RouteTable} from './route-table.js';

const getHostName = (host: string): string => {
	const colon = host.lastIndexOf(':');
	const hasPort = colon !== -1 && !host.endsWith(']');
	return (hasPort ? host.slice(0, colon) : host).toLowerCase();
};

const getPath = (url: string): string => {
	const query = url.indexOf('?');
	return query === -1 ? url : url.slice(0, query);
};

/** Returns the route of the host with the longest path prefix that matches the URL. */
export const getRoute = (table: RouteTable, host: string, url: string): Route | undefined => {
	const prefixes = table.hosts.get(getHostName(host));
	if (!prefixes) {
		return undefined;
	}

	const path = getPath(url);
	let slash = path.lastIndexOf('/');
	while (slash >= 0) {
		const route = prefixes.get(path.slice(0, slash + 1));
		if (route) {
			return route;
		}

		slash = slash === 0 ? -1 : path.lastIndexOf('/', slash - 1);
	}

	return undefined;
};
