import {parseAddress} from '@valelead/common';
import {type UpstreamChange, UPSTREAM_STATE} from '@valelead/discovery';
import type {DirectoryDelta} from '@valelead/protocol';

/**
 * Decodes the changes of the directory that a leader sends. Leaves out upstreams with an address that cannot be connected to, as leaders of earlier builds
 * accept them. A run that is gone is removed, whatever its address.
 */
export const getUsableChanges = (records: DirectoryDelta['upstreams']): UpstreamChange[] => {
	const usable = records.filter(({state, address}) => state === UPSTREAM_STATE.Gone || parseAddress(address) !== undefined);
	return usable as unknown as UpstreamChange[];
};
