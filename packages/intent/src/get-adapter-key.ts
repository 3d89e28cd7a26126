/** Returns the key under which an adapter is stored in the intent. */
export const getAdapterKey = (model: string, adapter: string): string => `${model}:${adapter}`;
