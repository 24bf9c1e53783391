import test from 'ava';
import {type PriorityClass} from '../cluster/intent.js';
import {reduceRequests} from './reduce-requests.js';
import {type RequestEffect} from './request-effect.js';
import {type RequestEvent} from './request-event.js';
import {fixtureArrival, fixtureCluster, fixtureContext} from './request-fixture.js';
import {initialRequestState} from './request-state.js';
import {priorityClasses} from './weighted-fair-queue.js';

const cluster = fixtureCluster(['127.0.0.1:1', '127.0.0.1:2']);
const slots = 4;
const agentQueueLimit = 16;
const serviceMs = 100;
/** Two backend servers with 4 slots each and 100 ms per request. */
const capacityPerSecond = 80;

type Tally = Record<PriorityClass, {offered: number; done: number; refused: number}>;

/** Simulates 20 s in steps of 5 ms: the class `flooding` arrives at 10 times the capacity, the other classes at their floors. */
function simulateFlood(flooding: PriorityClass): Tally {
	const tally: Tally = {
		urgent: {offered: 0, done: 0, refused: 0}, normal: {offered: 0, done: 0, refused: 0}, background: {offered: 0, done: 0, refused: 0},
	};
	const agents = new Map(['b0', 'b1'].map(id => [id, {active: 0, waiting: [] as Array<{requestId: string; attempt: number}>}]));
	const ends: Array<{atMs: number; backendServerId: string; requestId: string; attempt: number}> = [];
	const classOf = new Map<string, PriorityClass>();
	let state = initialRequestState;
	let nowMs = 0;

	function run(event: RequestEvent): void {
		const reduced = reduceRequests(state, event, fixtureContext(cluster, nowMs));
		state = reduced.state;
		for (const effect of reduced.effects) {
			execute(effect);
		}
	}

	function execute(effect: RequestEffect): void {
		if (effect.kind === 'answer-request') {
			tally[classOf.get(effect.requestId)!].refused++;
		} else if (effect.kind === 'forward-request') {
			const {requestId, attempt, backendServerId} = effect;
			const agent = agents.get(backendServerId)!;
			if (agent.active < slots) {
				agent.active++;
				ends.push({
					atMs: nowMs + serviceMs, backendServerId, requestId, attempt,
				});
			} else if (agent.waiting.length < agentQueueLimit) {
				agent.waiting.push({requestId, attempt});
			} else {
				run({
					kind: 'forward-finished',
					requestId,
					attempt,
					backendServerId,
					result: {
						kind: 'refused-not-run', errorKind: 'busy', status: 503, message: 'busy', remedy: 'retry', canResend: true,
					},
				});
			}
		}
	}

	let count = 0;
	function offer(priority: PriorityClass): void {
		const requestId = `r${count++}`;
		classOf.set(requestId, priority);
		tally[priority].offered++;
		run(fixtureArrival(requestId, nowMs, {priority, caller: `caller${count % 7}`, deadlineAtMs: nowMs + 5000}));
	}

	for (; nowMs < 20_000; nowMs += 5) {
		while (ends[0] !== undefined && ends[0].atMs <= nowMs) {
			const {backendServerId, requestId, attempt} = ends.shift()!;
			const agent = agents.get(backendServerId)!;
			const next = agent.waiting.shift();
			if (next === undefined) {
				agent.active--;
			} else {
				ends.push({atMs: nowMs + serviceMs, backendServerId, ...next});
			}

			tally[classOf.get(requestId)!].done++;
			run({
				kind: 'forward-finished', requestId, attempt, backendServerId, result: {kind: 'answered'},
			});
		}

		for (let arrivals = 0; arrivals < capacityPerSecond * 10 / 200; arrivals++) {
			offer(flooding);
		}

		if (nowMs % (10_000 / capacityPerSecond) === 0) {
			for (const priority of priorityClasses.filter(each => each !== flooding)) {
				offer(priority);
			}
		}

		run({kind: 'tick'});
	}

	return tally;
}

// Guards against an overload of one class that takes the floor of another class or lowers the throughput of the service.
for (const flooding of ['background', 'urgent'] as const) {
	test(`${flooding} requests at 10 times the capacity leave the other classes their floors`, t => {
		const tally = simulateFlood(flooding);
		for (const priority of priorityClasses.filter(each => each !== flooding)) {
			const {offered, done, refused} = tally[priority];
			t.is(refused, 0);
			t.true(done >= offered * 0.95);
		}

		t.true(tally.urgent.done + tally.normal.done + tally.background.done >= capacityPerSecond * 20 * 0.95);
	});
}
