import {alterAdapter} from './actions/alter-adapter.js';
import {alterClass} from './actions/alter-class.js';
import {alterModel} from './actions/alter-model.js';
import {alterService} from './actions/alter-service.js';
import {alterTeam} from './actions/alter-team.js';
import {createAdapter} from './actions/create-adapter.js';
import {createClass} from './actions/create-class.js';
import {createKey} from './actions/create-key.js';
import {createModel} from './actions/create-model.js';
import {createOperator} from './actions/create-operator.js';
import {createService} from './actions/create-service.js';
import {createTeam} from './actions/create-team.js';
import {createVersion} from './actions/create-version.js';
import {drain} from './actions/drain.js';
import {dropAdapter} from './actions/drop-adapter.js';
import {dropClass} from './actions/drop-class.js';
import {dropKey} from './actions/drop-key.js';
import {dropModel} from './actions/drop-model.js';
import {dropOperator} from './actions/drop-operator.js';
import {dropService} from './actions/drop-service.js';
import {dropTeam} from './actions/drop-team.js';
import {dropVersion} from './actions/drop-version.js';
import {forgetVm} from './actions/forget-vm.js';
import {grant} from './actions/grant.js';
import {quarantineRequest} from './actions/quarantine-request.js';
import {registerVm} from './actions/register-vm.js';
import {release} from './actions/release.js';
import {releaseRequest} from './actions/release-request.js';
import {revoke} from './actions/revoke.js';
import {start} from './actions/start.js';
import {stop} from './actions/stop.js';
import {undrain} from './actions/undrain.js';

/** All actions. An action validates one kind of command and applies it to the intent. */
export const ACTIONS = [
	alterAdapter,
	alterClass,
	alterModel,
	alterService,
	alterTeam,
	createAdapter,
	createClass,
	createKey,
	createModel,
	createOperator,
	createService,
	createTeam,
	createVersion,
	drain,
	dropAdapter,
	dropClass,
	dropKey,
	dropModel,
	dropOperator,
	dropService,
	dropTeam,
	dropVersion,
	forgetVm,
	grant,
	quarantineRequest,
	registerVm,
	release,
	releaseRequest,
	revoke,
	start,
	stop,
	undrain,
] as const;
