import * as Schema from 'effect/Schema';
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

/** The schema of all commands that change the intent. */
export const COMMAND_SCHEMA = Schema.Union([
	alterAdapter.schema,
	alterClass.schema,
	alterModel.schema,
	alterService.schema,
	alterTeam.schema,
	createAdapter.schema,
	createClass.schema,
	createKey.schema,
	createModel.schema,
	createOperator.schema,
	createService.schema,
	createTeam.schema,
	createVersion.schema,
	drain.schema,
	dropAdapter.schema,
	dropClass.schema,
	dropKey.schema,
	dropModel.schema,
	dropOperator.schema,
	dropService.schema,
	dropTeam.schema,
	dropVersion.schema,
	forgetVm.schema,
	grant.schema,
	quarantineRequest.schema,
	registerVm.schema,
	release.schema,
	releaseRequest.schema,
	revoke.schema,
	start.schema,
	stop.schema,
	undrain.schema,
]);
