import {alterAdapter} from './statements/alter-adapter.js';
import {alterClass} from './statements/alter-class.js';
import {alterModel} from './statements/alter-model.js';
import {alterService} from './statements/alter-service.js';
import {alterTeam} from './statements/alter-team.js';
import {createAdapter} from './statements/create-adapter.js';
import {createClass} from './statements/create-class.js';
import {createKey} from './statements/create-key.js';
import {createModel} from './statements/create-model.js';
import {createOperator} from './statements/create-operator.js';
import {createService} from './statements/create-service.js';
import {createTeam} from './statements/create-team.js';
import {createVersion} from './statements/create-version.js';
import {drainDataCentre} from './statements/drain-data-centre.js';
import {drainUpstream} from './statements/drain-upstream.js';
import {drainVm} from './statements/drain-vm.js';
import {dropAdapter} from './statements/drop-adapter.js';
import {dropClass} from './statements/drop-class.js';
import {dropKey} from './statements/drop-key.js';
import {dropModel} from './statements/drop-model.js';
import {dropOperator} from './statements/drop-operator.js';
import {dropService} from './statements/drop-service.js';
import {dropTeam} from './statements/drop-team.js';
import {dropVersion} from './statements/drop-version.js';
import {forgetVm} from './statements/forget-vm.js';
import {releaseRequest} from './statements/release-request.js';
import {startModel} from './statements/start-model.js';
import {startService} from './statements/start-service.js';
import {startTeam} from './statements/start-team.js';
import {stopModel} from './statements/stop-model.js';
import {stopService} from './statements/stop-service.js';
import {stopTeam} from './statements/stop-team.js';
import {undrainDataCentre} from './statements/undrain-data-centre.js';
import {undrainUpstream} from './statements/undrain-upstream.js';
import {undrainVm} from './statements/undrain-vm.js';
import type {StatementKind} from './statement-kind.js';

/** All types of statements that change the configuration. */
export const STATEMENT_KINDS: readonly StatementKind[] = [
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
	drainDataCentre,
	drainUpstream,
	drainVm,
	dropAdapter,
	dropClass,
	dropKey,
	dropModel,
	dropOperator,
	dropService,
	dropTeam,
	dropVersion,
	forgetVm,
	releaseRequest,
	startModel,
	startService,
	startTeam,
	stopModel,
	stopService,
	stopTeam,
	undrainDataCentre,
	undrainUpstream,
	undrainVm,
];
