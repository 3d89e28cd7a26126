export type {Pattern} from './pattern.js';
export type {Play} from './play.js';
export type {PlayFigures} from './play-figures.js';
export {readPattern} from './read-pattern.js';
export {playPattern} from './play-pattern.js';
export {getPlayFigures} from './get-play-figures.js';
