/** What a simulated disk leaves undone although it was asked for. */
export type DiskMutation = 'none' | 'file sync' | 'folder sync';
