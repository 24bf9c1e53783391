import {create} from '@bufbuild/protobuf';
import test from 'ava';
import {type ClusterRecord} from '../cluster/cluster-record.js';
import {type EvacuationRequests} from '../cluster/evacuations.js';
import {HeartbeatSchema, HelloSchema} from '../generated/arbutushinge/v1/agent_pb.js';
import {entrySettingsSchema} from '../settings/entry-settings.js';
import {type EntryEvent} from './entry-event.js';
import {initialEntryState} from './entry-state.js';
import {type EntryTransition, reduceEntry} from './reduce-entry.js';

const settings = entrySettingsSchema.parse({
	role: 'entry', entryId: 'entry-1', failureDomain: 'zone-b', callerAddress: '127.0.0.1:1', operatorAddress: '127.0.0.1:2', agentAddress: '127.0.0.1:3', logServiceUrl: 'http://127.0.0.1:4',
});

const demand = {processorsMilli: 1000, memoryMb: 1, accelerators: 0};

const noRequests: EvacuationRequests = {byFailureDomain: new Map(), listedEndOffset: 0};
const requestOf = (requestOffset: number, isRequested = true): EvacuationRequests => ({byFailureDomain: new Map([['zone-a', {isRequested, requestOffset}]]), listedEndOffset: 0});

/** An entry with one VM in zone-a and a queued task; `requests` is what it has read of the operator's topic. */
function createEntry(first: EvacuationRequests | 'unread') {
	let state = initialEntryState('own');
	let offset = -1;
	let requests = first;

	function dispatch(event: EntryEvent, nowMs: number): EntryTransition {
		const transition = reduceEntry(state, event, {
			nowMs, wallTimeMs: 1_000_000 + nowMs, seed: 1, pendingAppends: 0, evacuationRequests: requests,
		}, settings);
		({state} = transition);
		return transition;
	}

	const entry = {
		state: () => state,
		readTopic(next: EvacuationRequests): void {
			requests = next;
		},
		tick: (nowMs: number) => dispatch({kind: 'tick'}, nowMs),
		heartbeat: (nowMs: number, appliedConfigurationOffset: number) => dispatch({
			kind: 'agent-heartbeat', sessionId: 's', heartbeat: create(HeartbeatSchema, {sequence: 1n, appliedConfigurationOffset: BigInt(appliedConfigurationOffset)}),
		}, nowMs),
		read: (nowMs: number, ...records: readonly ClusterRecord[]) => dispatch({
			kind: 'log-page', readSentAtMs: nowMs, reachedTail: true, records: records.map(record => {
				offset++;
				return {
					offset, envelope: {
						writer: 'entry-1', incarnation: 'own', sequence: offset + 1, record,
					},
				};
			}),
		}, nowMs),
	};
	entry.read(
		0,
		{
			kind: 'entry-registered', entryId: 'entry-1', failureDomain: 'zone-b', operatorAddress: '127.0.0.1:2',
		},
		{
			kind: 'vm-registered', vmId: 'vm-1', agentIncarnation: 'agent-1', workerIncarnation: 'w', failureDomain: 'zone-a', rack: 'r', requestAddress: '127.0.0.1:6', capacity: {processorsMilli: 16_000, memoryMb: 64, accelerators: 0}, runningTasks: [],
		},
	);
	dispatch({kind: 'agent-hello', sessionId: 's', hello: create(HelloSchema, {vmId: 'vm-1', agentIncarnation: 'agent-1'})}, 0);
	const submitted = entry.read(1000, {
		kind: 'job-submitted', job: {
			jobId: 'job-1', teamId: 't', workClass: 'batch', priority: 'normal', tasks: [{
				taskId: 'task-1', demand, declaredRunTimeMs: 1, payload: '',
			}],
		},
	});
	return {...entry, submitted};
}

const recordsOf = ({effects}: EntryTransition): readonly ClusterRecord[] => effects.flatMap(effect => effect.kind === 'append-record' ? [effect.record] : []);
const kindsOf = (transition: EntryTransition): readonly string[] => recordsOf(transition).map(({kind}) => kind).filter(kind => kind === 'task-claimed' || kind === 'failure-domain-evacuation');
const startsOf = ({effects}: EntryTransition): number => effects.filter(effect => effect.kind === 'send-to-agent' && effect.command.case === 'startTask').length;
const eventsOf = ({effects}: EntryTransition): readonly string[] => effects.flatMap(effect => effect.kind === 'log-event' ? [effect.event] : []);

// All deciders restart after the operator wrote the request and before one of them recorded it.
test('an entry places nothing before it has read the operator\'s topic, then what the requests allow', t => {
	const entry = createEntry('unread');
	t.deepEqual(kindsOf(entry.submitted), []);
	entry.readTopic(requestOf(7));
	t.deepEqual(kindsOf(entry.tick(1500)), ['failure-domain-evacuation']);
	t.deepEqual(kindsOf(createEntry(noRequests).submitted), ['task-claimed']);
});

// Guards against tasks that start nowhere while their placement owner reads the log but not the operator's topic.
test('an entry that cannot read the operator\'s topic leaves the placement to the next one, and takes part again once it has read it', t => {
	const entry = createEntry('unread');
	const heartbeatIn = (transition: EntryTransition): ClusterRecord | undefined => recordsOf(transition).find(({kind}) => kind === 'entry-alive');
	const events: string[] = [];
	let nowMs = 1000;
	const writeHeartbeats = (count: number): void => {
		for (let written = 0; written < count; nowMs += 250) {
			const ticked = entry.tick(nowMs);
			const heartbeat = heartbeatIn(ticked);
			events.push(...eventsOf(ticked));
			entry.read(nowMs, ...(heartbeat ? [heartbeat] : []));
			written += heartbeat ? 1 : 0;
		}
	};

	writeHeartbeats(30);
	t.true(entry.state().cluster.entries.get('own')?.readLag?.isBehind);
	t.is(events.filter(event => event === 'placement-awaits-evacuations').length, 1);
	entry.readTopic(noRequests);
	writeHeartbeats(2);
	t.false(entry.state().cluster.entries.get('own')?.readLag?.isBehind);
});

test('a request is recorded once until it is read back, and its removal returns the failure domain to service', t => {
	const entry = createEntry(requestOf(7));
	const record = recordsOf(entry.tick(1500)).find(({kind}) => kind === 'failure-domain-evacuation');
	t.deepEqual(record, {
		kind: 'failure-domain-evacuation', failureDomain: 'zone-a', isRequested: true, requestOffset: 7, noticedAtMs: 1_001_500,
	});
	t.deepEqual(kindsOf(entry.tick(2000)), []);
	t.true(eventsOf(entry.read(2100, record!)).includes('failure-domain-evacuated'));
	t.deepEqual(kindsOf(entry.tick(2500)), []);
	entry.readTopic({byFailureDomain: new Map(), listedEndOffset: 8});
	t.deepEqual(kindsOf(entry.tick(3000)), [], 'the list ends at the request');
	entry.readTopic({byFailureDomain: new Map(), listedEndOffset: 10});
	const removal = recordsOf(entry.tick(3500)).find(({kind}) => kind === 'failure-domain-evacuation');
	const returned = entry.read(3600, removal!);
	t.true(eventsOf(returned).includes('failure-domain-returned'));
	t.deepEqual(kindsOf(returned), ['task-claimed']);
});

const claim: ClusterRecord = {
	kind: 'task-claimed', taskId: 'task-1', attempt: 1, vmId: 'vm-1', agentIncarnation: 'agent-1', committed: demand, evictTaskIds: [], decision: {
		policy: 'test', seed: 1, stateOffset: 0, candidates: [], consideredVms: 1, reason: '',
	},
};

const evacuation: ClusterRecord = {
	kind: 'failure-domain-evacuation', failureDomain: 'zone-a', isRequested: true, requestOffset: 7,
};

// The claim precedes the request, and its start was not sent; only an agent that knows of the evacuation may get it, to refuse it.
test('a start of an earlier claim waits until the agent has applied the evacuation', t => {
	const entry = createEntry(requestOf(7));
	t.is(startsOf(entry.read(1600, claim)), 0, 'the entry has read the request');
	const evacuated = entry.read(1700, evacuation);
	t.is(startsOf(evacuated), 0);
	const configurations = evacuated.effects.flatMap(effect => effect.kind === 'send-to-agent' && effect.command.case === 'configuration' ? [effect.command.value] : []);
	t.deepEqual(configurations.map(({vmEvacuated, offset}) => [vmEvacuated, offset]), [[true, 4n]]);
	t.is(startsOf(entry.heartbeat(2000, 0)), 0);
	t.is(startsOf(entry.heartbeat(3000, 4)), 1);
});

test('an entry that was cut off from the log sends no start', t => {
	const entry = createEntry(noRequests);
	t.is(startsOf(entry.read(1600, claim)), 1);
	t.is(startsOf(entry.heartbeat(4500, 0)), 1, 'a start without an effect is sent again');
	t.is(startsOf(entry.heartbeat(7000, 0)), 0);
	entry.read(7100);
	t.is(startsOf(entry.heartbeat(8000, 0)), 1);
});
