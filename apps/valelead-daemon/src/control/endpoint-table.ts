import {create} from '@bufbuild/protobuf';
import {type Intent, isDrained} from '@valelead/intent';
import {
	type Fleet, type MembershipSettings, type VmReport, isVmLive,
} from '@valelead/membership';
import {type Endpoint, EndpointSchema} from '@valelead/protocol';

type VersionedEndpoint = {
	readonly endpoint: Endpoint;
	readonly version: number;
};

const getReadyUnits = (intent: Intent, report: VmReport): string[] => {
	const revoking = new Set((intent.grantsByVm.get(report.vm) ?? [])
		.map(grantId => intent.grants.get(grantId)!)
		.filter(grant => grant.isRevoking)
		.map(grant => grant.unit));
	return report.units.filter(unit => unit.state === 'ready' && !revoking.has(unit.unit)).map(unit => unit.unit).sort();
};

const isSame = (left: Endpoint, right: Endpoint): boolean => JSON.stringify(left) === JSON.stringify(right);

/** Table of the endpoints to which entries can send requests. Each VM's endpoint has a version, so that only changes are sent. */
export class EndpointTable {
	readonly #endpoints = new Map<string, VersionedEndpoint>();
	#version = 1;

	get version(): number {
		return this.#version;
	}

	/** Updates the endpoints from the leader's current state and gives each changed endpoint a new version. */
	refresh(intent: Intent, fleet: Fleet, membership: MembershipSettings, now: number): void {
		for (const vm of new Set([...this.#endpoints.keys(), ...fleet.vms.keys()])) {
			this.#set(vm, this.#newEndpoint(intent, fleet, membership, vm, now));
		}
	}

	/** Returns the endpoints that changed after a version. */
	getSince(version: number): Endpoint[] {
		return [...this.#endpoints.values()].filter(known => known.version > version).map(known => known.endpoint);
	}

	#newEndpoint(intent: Intent, fleet: Fleet, membership: MembershipSettings, vm: string, now: number): Endpoint {
		const report = fleet.vms.get(vm)?.report;
		const known = intent.vms.get(vm);
		const isOpen = report && known?.incarnation === report.incarnation && isVmLive(fleet, membership, vm, now) && !isDrained(intent, vm) && !report.isLeaving;
		if (!isOpen) {
			return create(EndpointSchema, {vm, isClosed: true});
		}

		return create(EndpointSchema, {
			vm,
			dataCentre: report.dataCentre,
			address: report.address,
			ready: getReadyUnits(intent, report),
			service: report.service,
			isClosed: false,
		});
	}

	#set(vm: string, endpoint: Endpoint): void {
		const known = this.#endpoints.get(vm);
		if (known && isSame(known.endpoint, endpoint)) {
			return;
		}

		this.#version += 1;
		this.#endpoints.set(vm, {endpoint, version: this.#version});
	}
}
