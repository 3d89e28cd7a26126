import {readFileSync} from 'node:fs';

const CONFIGURATION = JSON.parse(readFileSync('review/support/configuration.json', 'utf8'));

/** A configuration with one route, to a service whose requests may run at most once. */
export const newConfiguration = version => ({...CONFIGURATION, version});
