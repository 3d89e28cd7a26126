export {Installation} from './installation.js';
export type {InstallationOptions} from './installation-options.js';
export {runProgram} from './run-program.js';
export type {ProgramResult} from './program-result.js';
export {Program} from './program.js';
export {getFreePorts} from './get-free-ports.js';
export {callHttp} from './call-http.js';
export type {HttpAnswer} from './http-answer.js';
export type {EngineBooks} from './engine-books.js';
