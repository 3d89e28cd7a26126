import type {ABANDONED_EVENT} from './abandoned-event.js';

export type AbandonedEventValue = typeof ABANDONED_EVENT[keyof typeof ABANDONED_EVENT];
