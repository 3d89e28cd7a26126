export {checkSettings} from './settings/check-settings.js';
export {SETTINGS_SCHEMA} from './settings/settings-schema.js';
export type {Settings} from './settings/settings.js';
export {Attempt} from './entry/attempt.js';
export type {AnswerSink} from './entry/answer-sink.js';
export {IntentFollower} from './entry/intent-follower.js';
export {newPlacementView} from './control/new-placement-view.js';
