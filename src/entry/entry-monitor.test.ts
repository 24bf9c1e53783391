import test from 'ava';
import {entrySettingsSchema} from '../settings/entry-settings.js';
import {type Metrics} from '../telemetry/metrics.js';
import {type ControlEffect} from './control-effect.js';
import {createEntryMonitor} from './entry-monitor.js';
import {initialEntryState} from './entry-state.js';

const settings = entrySettingsSchema.parse({
	role: 'entry', entryId: 'e1', failureDomain: 'a', callerAddress: '127.0.0.1:1', operatorAddress: '127.0.0.1:2', agentAddress: '127.0.0.1:3',
});

function setUp() {
	let nowMs = 0;
	const gauges = new Map<string, number>();
	const effects: ControlEffect[] = [];
	const metrics: Metrics = {
		increment() {
			// Not checked.
		},
		gauge(name, value) {
			gauges.set(name, value);
		},
		timingMs() {
			// Not checked.
		},
		async close() {
			// Nothing to close.
		},
	};
	const monitor = createEntryMonitor({
		tickMs: 50,
		settings,
		metrics,
		execute(effect) {
			effects.push(effect);
		},
		nowMs: () => nowMs,
	});
	const state = {...initialEntryState('i1'), log: {tailConfirmedSentAtMs: 0, reachable: true}};
	return {
		monitor, gauges, effects, state, advance(ms: number) {
			nowMs += ms;
		},
	};
}

test('an event that blocks the loop is not left out of the log line of an entry that is behind', t => {
	const {monitor, gauges, effects, state, advance} = setUp();
	monitor.recordTick();
	t.is(monitor.measureTransition('tick', () => 3), 3);
	monitor.measureTransition('log-page', () => {
		advance(700);
	});
	monitor.recordTick();
	monitor.report({state, pendingAppends: 0});
	t.is(gauges.get('loop.delay'), 650);
	t.is(gauges.get('loop.longest-step'), 700);
	const line = effects.find(effect => effect.kind === 'log-event');
	t.is(line?.event, 'entry-behind');
	t.like(line?.fields, {causes: 'event-loop', longestStepEvent: 'log-page', longestStepMs: 700});
});

test('a maximum is not reported again after the second in which it was measured', t => {
	const {monitor, gauges, state, advance} = setUp();
	monitor.recordTick();
	advance(500);
	monitor.recordTick();
	monitor.report({state, pendingAppends: 0});
	advance(50);
	monitor.recordTick();
	monitor.report({state, pendingAppends: 0});
	t.is(gauges.get('loop.delay'), 0);
	t.is(gauges.get('loop.longest-step'), 0);
});

test('an entry reports how many records it is behind the newest tail that a read reported', t => {
	const {monitor, gauges, state} = setUp();
	monitor.recordPage({tailOffset: 1500, recordCount: 1000});
	monitor.report({state: {...state, cluster: {...state.cluster, offset: 999}}, pendingAppends: 0});
	t.is(gauges.get('log.records-behind'), 500);
	t.is(gauges.get('log.largest-page'), 1000);
	monitor.recordPage({tailOffset: 1400, recordCount: 2});
	monitor.report({state: {...state, cluster: {...state.cluster, offset: 1499}}, pendingAppends: 0});
	t.is(gauges.get('log.records-behind'), 0);
});
