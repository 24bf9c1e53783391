import {create} from '@bufbuild/protobuf';
import test from 'ava';
import {Map as immutableMap} from 'immutable';
import {type EntryContext} from '../entry/entry-context.js';
import {HelloSchema, TaskEventSchema} from '../generated/arbutushinge/v1/agent_pb.js';
import {emptyStateFixture, taskFixture, vmFixture} from '../operator/state-fixture.js';
import {entrySettingsSchema} from '../settings/entry-settings.js';
import {type AgentLink} from './agent-link.js';
import {acknowledgeTaskEvents, relayTaskEvents} from './task-event-relay.js';

const settings = entrySettingsSchema.parse({
	role: 'entry', entryId: 'e1', failureDomain: 'a', callerAddress: '127.0.0.1:1', operatorAddress: '127.0.0.1:2', agentAddress: '127.0.0.1:3',
});

const event = create(TaskEventSchema, {
	eventId: 1n, taskId: taskFixture.spec.taskId, attempt: taskFixture.attempt, outcome: {case: 'ended', value: {outcome: 1, reason: 'done'}},
});

const newLink: AgentLink = {
	vmId: vmFixture.vmId,
	sessionId: 's1',
	agentIncarnation: vmFixture.agentIncarnation,
	hello: create(HelloSchema, {}),
	helloReceivedAtMs: 0,
	isHelloChecked: true,
	heartbeatSequence: undefined,
	appliedConfigurationOffset: -1,
	sentConfiguration: '',
	configuredFrom: undefined,
	backendServers: immutableMap(),
	sentCommands: immutableMap(),
	pendingTaskEvents: immutableMap(),
	leaving: false,
	workerLeaving: false,
};

function contextAt(nowMs: number, tailConfirmedSentAtMs: number): EntryContext {
	return {
		cluster: {...emptyStateFixture, vms: immutableMap([[vmFixture.vmId, vmFixture]]), tasks: immutableMap([[taskFixture.spec.taskId, taskFixture]])},
		settings, incarnation: 'own', nowMs, wallTimeMs: nowMs, tailConfirmedSentAtMs, pendingAppends: 0, seed: 1,
	};
}

const appends = ({effects}: ReturnType<typeof relayTaskEvents>): number => effects.filter(({kind}) => kind === 'append-record').length;

test('an entry that lags behind the log does not append repeated task events again', t => {
	const first = relayTaskEvents(newLink, [event], contextAt(1000, 900));
	t.is(appends(first), 1);
	const repeated = relayTaskEvents(first.link, [event], contextAt(7000, 900));
	t.is(appends(repeated), 0, 'the record may be in the unread part of the log');
	t.is(appends(relayTaskEvents(repeated.link, [event], contextAt(8000, 7900))), 1, 'the record is not in the log');
});

test('an end whose record was overtaken by the registration of a new incarnation is not acknowledged, and is appended for that incarnation', t => {
	const formerLink: AgentLink = {...newLink, agentIncarnation: 'former'};
	const vm = {...vmFixture, formerAgentIncarnations: ['former']};
	const context = {...contextAt(2000, 1900), cluster: {...contextAt(2000, 1900).cluster, vms: immutableMap([[vm.vmId, vm]])}};
	const formerTask = {...taskFixture, claim: {...taskFixture.claim!, agentIncarnation: 'former'}};
	const before = contextAt(1000, 900);
	const overtaken = relayTaskEvents(formerLink, [event], {...before, cluster: {...before.cluster, tasks: immutableMap([[formerTask.spec.taskId, formerTask]])}});
	t.is(appends(overtaken), 1);
	t.deepEqual(acknowledgeTaskEvents(overtaken.link, context).effects, [], 'readers ignored the record, since the claim had passed to the new incarnation');
	const repeated = relayTaskEvents(newLink, [event], context);
	t.is(appends(repeated), 1);
	t.like(repeated.effects[0], {record: {kind: 'task-ended', agentIncarnation: newLink.agentIncarnation}});
});
