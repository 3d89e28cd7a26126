/** What can be listed. */
export const LISTINGS: readonly string[] = [
	'teams',
	'keys',
	'classes',
	'models',
	'versions',
	'adapters',
	'services',
	'operators',
	'vms',
	'upstreams',
	'replicas',
	'queues',
	'entries',
	'voters',
	'revisions',
	'requests',
];
