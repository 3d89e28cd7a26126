import {parseAddress} from '@valelead/common';
import {type UpstreamChange, UPSTREAM_STATE} from '@valelead/discovery';
import type {DirectoryDelta} from '@valelead/protocol';

/**
 * Decodes the changes of the directory that a leader sends. An upstream with an address that cannot be connected to counts as gone: leaders of earlier builds
 * accept some of them.
 */
export const getUsableChanges = (records: DirectoryDelta['upstreams']): UpstreamChange[] => {
	const usable = records.map(record => parseAddress(record.address) === undefined ? {...record, state: UPSTREAM_STATE.Gone} : record);
	return usable as unknown as UpstreamChange[];
};
