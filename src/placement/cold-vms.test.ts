import test from 'ava';
import {type Vm} from '../cluster/cluster-state.js';
import {noColdVms, recordColdLeft, splitByWarmth} from './cold-vms.js';

type SplitVm = Pick<Vm, 'vmId' | 'service' | 'capacity'>;

const vm = (vmId: string, service = 's'): SplitVm => ({vmId, service, capacity: {processorsMilli: 16_000, memoryMb: 1, accelerators: 0}});

const ids = (vms: readonly SplitVm[]): readonly string[] => vms.map(({vmId}) => vmId);

test('a cold VM gives a quarter of its processors at first, and more until it is warm', t => {
	const vms = [vm('vm-1'), vm('vm-2'), vm('vm-3')];
	let cold = recordColdLeft(noColdVms, {vmId: 'vm-1', coldLeftMs: 8000, nowMs: 0});
	t.deepEqual([...splitByWarmth(vms, cold, 0).withheldMilliByVm], [['vm-1', 12_000]]);
	cold = recordColdLeft(cold, {vmId: 'vm-1', coldLeftMs: 4000, nowMs: 4000});
	t.deepEqual([...splitByWarmth(vms, cold, 4000).withheldMilliByVm], [['vm-1', 6000]]);
	t.deepEqual(ids(splitByWarmth(vms, cold, 4000).warm), ['vm-2', 'vm-3']);
	t.deepEqual(ids(splitByWarmth(vms, cold, 8000).warm), ['vm-1', 'vm-2', 'vm-3']);
	t.deepEqual(ids(splitByWarmth(vms, recordColdLeft(cold, {vmId: 'vm-1', coldLeftMs: 0, nowMs: 5000}), 5000).cold), []);
});

// After a loss of power all workers may be cold: sparing them would keep long-running tasks from running again.
test('the VMs of a service most of which is cold are used in full', t => {
	const vms = [vm('vm-1'), vm('vm-2'), vm('vm-3'), vm('vm-4', 'other')];
	let cold = noColdVms;
	for (const vmId of ['vm-1', 'vm-2']) {
		cold = recordColdLeft(cold, {vmId, coldLeftMs: 8000, nowMs: 0});
	}

	t.deepEqual(ids(splitByWarmth(vms, cold, 0).cold), []);
});
