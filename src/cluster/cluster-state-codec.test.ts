import test from 'ava';
import fc from 'fast-check';
import {jsonWithOddField, oddJson} from '../validation/odd-values.js';
import {decodeClusterState, encodeClusterState, type EncodedClusterState} from './cluster-state-codec.js';
import {buildLog, randomCommands} from './random-log.js';
import {applyRecords, emptyClusterState} from './reduce-cluster.js';

/** A log whose state has queued and claimed tasks, a backend server and keys. */
const log = fc.sample(randomCommands, {numRuns: 40, seed: 1}).map(list => buildLog(list))
	.find(records => {
		const state = applyRecords(emptyClusterState, records);
		return state.tasks.some(task => task.claim !== undefined) && state.backendServers.some(({phase}) => phase === 'serving') && !state.keys.isEmpty();
	})!;
const firstHalf = log.slice(0, Math.ceil(log.length * 0.75));
const encode = (): EncodedClusterState => structuredClone(encodeClusterState(applyRecords(emptyClusterState, log)));

const changes: ReadonlyArray<readonly [string, (state: EncodedClusterState) => unknown]> = [
	['an infinite offset', state => ({...state, offset: Number.POSITIVE_INFINITY})],
	['an offset of 1e300', state => ({...state, offset: 1e300})],
	['a negative offset', state => ({...state, offset: -2})],
	['an offset before those of its parts', state => ({...state, offset: 5})],
	['a claim for a VM that does not exist', state => ({...state, vms: []})],
	['a VM with a task that does not exist', state => ({...state, vms: state.vms.map(vm => ({...vm, taskIds: ['none']}))})],
	['a VM with a backend server that does not exist', state => ({...state, backendServers: []})],
	['a queue with a task that does not exist', state => ({...state, queued: [['urgent', ['none']]]})],
	['a port out of range', state => ({...state, vms: state.vms.map(vm => ({...vm, requestAddress: '127.0.0.1:99999'}))})],
	['a capacity of more than the messages to agents carry', state => ({...state, vms: state.vms.map(vm => ({...vm, capacity: [4_294_967_296, 0, 0]}))})],
	['a negative number of connections', state => ({...state, backendServers: state.backendServers.map(server => ({...server, connections: -1}))})],
];

for (const [name, change] of changes) {
	test(`a state with ${name} is not used`, t => {
		t.true(decodeClusterState(encode()).isOk);
		const decoded = decodeClusterState(change(encode()));
		t.true(decoded.isErr && decoded.error.message.length < 500);
	});
}

test('no value throws when it is decoded, and the log can be applied to each state that is used', t => {
	const halfway = encodeClusterState(applyRecords(emptyClusterState, firstHalf));
	t.notThrows(() => {
		fc.assert(fc.property(fc.oneof({weight: 9, arbitrary: jsonWithOddField(halfway)}, oddJson()), text => {
			const decoded = decodeClusterState(JSON.parse(text));
			if (decoded.isOk) {
				encodeClusterState(applyRecords(decoded.value, log));
			}
		}), {numRuns: 500});
	});
});
