#!/usr/bin/env node
import {Command} from 'commander';
import {FakeEngine} from './fake-engine.js';
import {FakeService} from './fake-service.js';
import {FakeWeightStore} from './fake-weight-store.js';

const HOST = '127.0.0.1';

const program = new Command('valelead-fakes').description('Small stand-ins for engines, services and the weight store.');

program.command('engine')
	.requiredOption('--port <number>', 'port on loopback', Number)
	.option('--store-port <number>', 'port of the weight store', Number, 0)
	.option('--memory-bytes <number>', 'memory of the VM', Number, 2 ** 34)
	.option('--capacity <number>', 'requests at once', Number, 16)
	.option('--checks-fence', 'refuse orders with an old fencing number', false)
	.option('--first-token-ms <number>', 'time to the first token', Number, 5)
	.option('--token-ms <number>', 'time between tokens', Number, 1)
	.option('--disk-ms-per-gib <number>', 'load time from the disk', Number, 10)
	.action((options: {port: number; storePort: number; memoryBytes: number; capacity: number; checksFence: boolean; firstTokenMs: number; tokenMs: number; diskMsPerGib: number}) => {
		new FakeEngine({host: HOST, ...options}).listen();
	});

program.command('service')
	.requiredOption('--port <number>', 'port on loopback', Number)
	.requiredOption('--service <name>', 'the service that it offers')
	.option('--capacity <number>', 'requests at once', Number, 16)
	.option('--work-ms <number>', 'time of one call', Number, 5)
	.action((options: {port: number; service: string; capacity: number; workMs: number}) => {
		new FakeService({host: HOST, ...options}).listen();
	});

program.command('store')
	.requiredOption('--port <number>', 'port on loopback', Number)
	.option('--ms-per-gib <number>', 'load time', Number, 50)
	.option('--concurrent <number>', 'loads at full speed at once', Number, 4)
	.action((options: {port: number; msPerGib: number; concurrent: number}) => {
		new FakeWeightStore({host: HOST, ...options}).listen();
	});

await program.parseAsync();
