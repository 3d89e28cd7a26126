import type {CallerCodec} from './caller-codec.js';
import type {ControlCodec} from './control-codec.js';
import type {EngineCodec} from './engine-codec.js';

/** The codecs of one platform: its header names, message formats and HTTP calls. An adapter contains no decision logic. */
export type Adapter = {
	readonly caller: CallerCodec;
	readonly control: ControlCodec;
	readonly engine: EngineCodec;
};
