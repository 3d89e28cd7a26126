import {create} from '@bufbuild/protobuf';
import type {Intent} from '@valelead/intent';
import {getVmOrders} from '@valelead/membership';
import {type Orders, OrdersSchema} from '@valelead/protocol';

/** Returns the message with the leader's orders to one VM. */
export const newOrders = (intent: Intent, vm: string): Orders => {
	const orders = getVmOrders(intent, vm);
	return create(OrdersSchema, {...orders, grants: [...orders.grants]});
};
