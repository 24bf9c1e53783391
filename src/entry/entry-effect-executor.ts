import {type EventLog} from '../telemetry/event-log.js';
import {type Metrics} from '../telemetry/metrics.js';
import {type Timeline} from '../telemetry/timeline-event.js';
import {type AgentStreamServer} from './agent-stream-server.js';
import {type DeferredReplies} from './deferred-replies.js';
import {type EntryEffect} from './entry-effect.js';
import {type EntryEvent} from './entry-event.js';
import {type LogConnection} from './log-connection.js';
import {type RequestHistory} from './request-history.js';
import {type RequestForwarder} from './request-forwarder.js';

type EffectTable = {readonly [Kind in EntryEffect['kind']]: (effect: Extract<EntryEffect, {kind: Kind}>) => void};

/**
Creates the function that executes an entry's effects.

@example
const execute = createEntryEffectExecutor(targets);
execute({kind: 'confirm-log-tail'});
*/
export function createEntryEffectExecutor(targets: Readonly<{
	logConnection: LogConnection;
	agents: AgentStreamServer;
	forwarder: RequestForwarder;
	deferredReplies: DeferredReplies;
	timeline: Timeline;
	requestHistory: RequestHistory;
	eventLog: EventLog;
	metrics: Metrics;
	dispatch: (event: EntryEvent) => void;
	newIncarnation: () => string;
}>): (effect: EntryEffect) => void {
	const {
		logConnection, agents, forwarder, deferredReplies, timeline, requestHistory, eventLog, metrics, dispatch, newIncarnation,
	} = targets;
	const table: EffectTable = {
		'append-record'({record}) {
			logConnection.append(record);
		},
		'send-to-agent'({vmId, command}) {
			if (agents.send(vmId, command) && command.case === 'leaseGrant' && command.value.durationMs !== 0) {
				metrics.increment('leases.granted');
			}
		},
		'write-snapshot'() {
			logConnection.writeSnapshot();
		},
		'restart-incarnation'({reason}) {
			const incarnation = newIncarnation();
			eventLog.warn('incarnation-restarted', {incarnation, reason});
			logConnection.restartWriter(incarnation);
			dispatch({kind: 'incarnation-started', incarnation});
		},
		'answer-deferred'({replyId, answer}) {
			deferredReplies.answer(replyId, answer);
		},
		'record-timeline'({entry}) {
			timeline.record(entry);
		},
		'log-event'({level, event, fields}) {
			eventLog[level](event, fields);
		},
		'count-metric'({name, count}) {
			metrics.increment(name, count);
		},
		'confirm-log-tail'() {
			logConnection.confirmTail();
		},
		'forward-request'(effect) {
			requestHistory.recordEffect(effect);
			forwarder.forward(effect);
		},
		'answer-request'(effect) {
			requestHistory.recordEffect(effect);
			forwarder.answer(effect);
		},
		'cancel-forward'(effect) {
			requestHistory.recordEffect(effect);
			forwarder.cancel(effect);
		},
	};
	return <Kind extends EntryEffect['kind']>(effect: Extract<EntryEffect, {kind: Kind}>) => {
		table[effect.kind](effect);
	};
}
