import test from 'ava';
import {Map as immutableMap} from 'immutable';
import {agentSettingsSchema} from '../settings/agent-settings.js';
import {closedLink, initialAgentState, type AgentState} from './agent-state.js';
import {sendDueTaskEvents} from './entry-messages.js';
import {reduceAgent} from './reduce-agent.js';
import {addTaskEvent} from './task-events.js';

test('the task events of a fleet are spread over the entries', t => {
	const addresses = ['127.0.0.1:2', '127.0.0.1:3', '127.0.0.1:4'];
	const firstReceivers = Array.from({length: 60}, (_, index) => {
		const initial = initialAgentState(agentSettingsSchema.parse({
			role: 'agent', vmId: `vm-${index}`, failureDomain: 'a', rack: 'r1', requestAddress: '127.0.0.1:1',
		}), 'i1');
		const {effects} = sendDueTaskEvents(5)({
			...initial,
			phase: 'active',
			entries: immutableMap(addresses.map(address => [address, {...closedLink, connected: true}])),
			events: addTaskEvent(initial.events, {taskId: 't1', attempt: 1, outcome: {case: 'started', value: {}}}),
		});
		return effects.flatMap(effect => effect.kind === 'send' ? [effect.entryAddress] : []);
	});
	for (const address of addresses) {
		const count = firstReceivers.filter(([first]) => first === address).length;
		t.true(count > 10 && count < 30, `${address} gets the events of ${count} of 60 agents`);
	}

	t.true(firstReceivers.every(receivers => receivers.length === 1));
});

test('an entry that replaces unreachable ones gets the task events that they did not acknowledge, without waiting for the next repeat', t => {
	const initial = initialAgentState(agentSettingsSchema.parse({
		role: 'agent', vmId: 'vm-1', failureDomain: 'a', rack: 'r1', requestAddress: '127.0.0.1:1',
	}), 'i1');
	const reporting: AgentState = {
		...initial,
		phase: 'active',
		entries: immutableMap([['127.0.0.1:2', {...closedLink, connected: true}]]),
		events: addTaskEvent(initial.events, {taskId: 't1', attempt: 1, outcome: {case: 'started', value: {}}}),
	};
	let sent = reporting;
	for (const nowMs of [0, 2000, 6000]) {
		sent = sendDueTaskEvents(nowMs)(sent).state;
	}

	const {effects} = reduceAgent(sent, {kind: 'entry-connected', nowMs: 6500, entryAddress: '127.0.0.1:3'});
	const receivers = effects.flatMap(effect => effect.kind === 'send' && effect.message.case === 'taskEvents' ? [effect.entryAddress] : []);
	t.deepEqual(receivers, ['127.0.0.1:3']);
});
