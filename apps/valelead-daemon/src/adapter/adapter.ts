import type {CallerCodec} from './caller-codec.js';
import type {ControlCodec} from './control-codec.js';
import type {EngineCodec} from './engine-codec.js';

/** A platform's names, formats and calls. It decides nothing. */
export type Adapter = {
	readonly caller: CallerCodec;
	readonly control: ControlCodec;
	readonly engine: EngineCodec;
};
