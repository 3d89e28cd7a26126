import {getServiceTarget} from '@valelead/admission';
import {getUnitName} from '@valelead/residency';

/**
 * Returns the name of what an upstream must offer to serve a request: the service itself if `model` is empty, else the model or the adapter on it.
 */
export const getTarget = (service: string, model: string, adapter: string): string => model === '' ? getServiceTarget(service) : `${service}/${getUnitName(model, adapter)}`;
