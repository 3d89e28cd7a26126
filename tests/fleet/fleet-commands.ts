import fc from 'fast-check';
import type {FakeFleet} from './fake-fleet.js';
import type {FleetCommand} from './fleet-command.js';

const newFleetCommand = (text: string, run: (fleet: FakeFleet) => void): FleetCommand => ({
	check: () => true,
	run(_model, fleet) {
		run(fleet);
	},
	toString: () => text,
});

const VM = fc.nat({max: 2});

const MODEL = fc.constantFrom('small', 'middle', 'large', 'small:tuned');

/** Demand, operators, faults and the passing of time, in any order and mix. */
export const FLEET_COMMANDS: ReadonlyArray<fc.Arbitrary<FleetCommand>> = [
	fc.integer({min: 10, max: 2500}).map(ms => newFleetCommand(`advance ${ms}`, fleet => {
		fleet.advance(ms);
	})),
	fc.tuple(MODEL, fc.integer({min: 0, max: 9})).map(([model, waiting]) => newFleetCommand(`${waiting} want ${model}`, fleet => {
		fleet.want(model, waiting);
		fleet.advance(200);
	})),
	fc.tuple(MODEL, MODEL).map(([first, second]) => newFleetCommand(`want ${first}, then ${second} instead`, fleet => {
		fleet.want(first, 3);
		fleet.advance(700);
		fleet.want(first, 0);
		fleet.want(second, 5);
		fleet.advance(400);
	})),
	VM.map(vm => newFleetCommand(`crash agent ${vm}`, fleet => {
		fleet.agents[vm].crash();
	})),
	VM.map(vm => newFleetCommand(`restart agent ${vm}`, fleet => {
		fleet.agents[vm].crash();
		fleet.agents[vm].restart();
	})),
	VM.map(vm => newFleetCommand(`freeze agent ${vm}`, fleet => {
		fleet.agents[vm].process.freeze();
	})),
	VM.map(vm => newFleetCommand(`thaw agent ${vm}`, fleet => {
		fleet.agents[vm].process.thaw();
	})),
	VM.map(vm => newFleetCommand(`freeze engine ${vm} for a while`, fleet => {
		fleet.agents[vm].engine.process.freeze();
		fleet.advance(900);
		fleet.agents[vm].engine.process.thaw();
	})),
	VM.map(vm => newFleetCommand(`restart engine ${vm}`, fleet => {
		fleet.agents[vm].engine.crash();
		fleet.advance(30);
		fleet.agents[vm].engine.process.restart();
	})),
	VM.map(vm => newFleetCommand(`lose VM ${vm} and get it back`, fleet => {
		fleet.agents[vm].engine.crash();
		fleet.agents[vm].crash();
		fleet.advance(1500);
		fleet.agents[vm].engine.process.restart();
		fleet.agents[vm].restart();
	})),
	VM.map(vm => newFleetCommand(`lose VM ${vm}, forget it, get it back`, fleet => {
		fleet.agents[vm].engine.crash();
		fleet.agents[vm].crash();
		fleet.execute({kind: 'forgetVm', name: `vm-${vm}`});
		fleet.advance(500);
		fleet.agents[vm].engine.process.restart();
		fleet.agents[vm].restart();
	})),
	fc.tuple(VM, MODEL).map(([vm, model]) => newFleetCommand(`kill agent ${vm} in the middle of loading ${model}`, fleet => {
		fleet.want(model, 4);
		fleet.advance(120);
		fleet.agents[vm].crash();
		fleet.want(model, 0);
		fleet.advance(20);
		fleet.agents[vm].restart();
	})),
	VM.map(vm => newFleetCommand(`cut VM ${vm} off`, fleet => {
		fleet.network.cut(`vm-${vm}`, 'leader');
		fleet.network.cut('leader', `vm-${vm}`);
		fleet.advance(1200);
	})),
	VM.map(vm => newFleetCommand(`cut orders to VM ${vm}`, fleet => {
		fleet.network.cut('leader', `vm-${vm}`);
	})),
	fc.constant(newFleetCommand('slow leader links', fleet => {
		fleet.network.makeLossy(1500);
	})),
	fc.constant(newFleetCommand('lossy network', fleet => {
		fleet.network.makeLossy(200);
		fleet.localNetwork.makeLossy(200);
	})),
	fc.constant(newFleetCommand('heal', fleet => {
		fleet.heal();
	})),
	fc.constant(newFleetCommand('freeze the leader, then replace it', fleet => {
		fleet.leader.freeze();
		fleet.advance(800);
		fleet.replaceLeader();
	})),
	fc.constant(newFleetCommand('replace the leader', fleet => {
		fleet.replaceLeader();
	})),
	VM.map(vm => newFleetCommand(`drain VM ${vm}`, fleet => {
		fleet.execute({kind: 'drain', target: 'vm', name: `vm-${vm}`});
		fleet.advance(300);
		fleet.execute({kind: 'undrain', target: 'vm', name: `vm-${vm}`});
	})),
	fc.nat({max: 2}).map(count => newFleetCommand(`alter small to ${count} replicas`, fleet => {
		fleet.execute({kind: 'alterModel', name: 'small', maxReplicas: count});
	})),
];
