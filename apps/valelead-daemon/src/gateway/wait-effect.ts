import type {AdmissionEffect} from '@valelead/admission';

/** A dispatch or a refusal, which may state how the request has waited. */
export type WaitEffect = Extract<AdmissionEffect, {kind: 'dispatch' | 'refuse'}>;
