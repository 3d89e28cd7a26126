import {getServiceTarget} from '@valelead/admission';
import {getUnitName} from '@valelead/residency';

/** What a request needs an upstream to offer: the plain service, or a model or adapter of an engine's service. */
export const getTarget = (service: string, model: string, adapter: string): string => model === '' ? getServiceTarget(service) : `${service}/${getUnitName(model, adapter)}`;
