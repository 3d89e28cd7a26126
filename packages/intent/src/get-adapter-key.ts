/** The key of an adapter among all adapters. */
export const getAdapterKey = (model: string, adapter: string): string => `${model}:${adapter}`;
