import test from 'ava';
import fc from 'fast-check';
import {type ClusterState, type KeyClaim} from '../cluster/cluster-state.js';
import {reduceRequests} from './reduce-requests.js';
import {type ForwardRequestEffect, type RequestEffect} from './request-effect.js';
import {type ForwardResult, type RequestEvent, type RequestEventOf} from './request-event.js';
import {
	fixtureArrival, fixtureCluster, fixtureContext, fixtureLimits,
} from './request-fixture.js';
import {initialRequestState, type RequestState} from './request-state.js';
import {priorityClasses} from './weighted-fair-queue.js';

type LogItem
	= | Readonly<{kind: 'claim'; entry: number; claim: Omit<KeyClaim, 'claimOffset'>}>
		| Readonly<{kind: 'release'; keyHash: string; claimOffset: number; agentIncarnation: string}>
		| Readonly<{kind: 'agent-restarted'; vm: number; incarnation: string}>
		| Readonly<{kind: 'leaving'; backendServerId: string}>;

type Entry = {
	state: RequestState;
	cluster: ClusterState;
	appends: LogItem[];
	tailReads: Array<{sentAtMs: number; tail: number | undefined}>;
	tailConfirmedSentAtMs: number;
	forwards: ForwardRequestEffect[];
	answers: Array<{effect: ForwardRequestEffect; result: ForwardResult}>;
	firstForwards: number;
	retries: number;
};

type Agent = {incarnation: string; isLeaving: boolean; keys: Map<string, string>; released: Map<string, number>};

type Run = Readonly<{requestId: string; keyHash: string | undefined; actionIndex: number}>;

const vmCount = 3;
const canResend = true;

/** Simulates two entries over one log and three agents, with actions in the order that the property chooses. Collects violated invariants. */
class TwoEntrySimulation {
	readonly violations: string[] = [];
	readonly agents: Agent[] = Array.from({length: vmCount}, (_, index) => ({
		incarnation: `agent${index}`, isLeaving: false, keys: new Map<string, string>(), released: new Map<string, number>(),
	}));

	readonly entries: Entry[];
	readonly #log: LogItem[] = [];
	readonly #arrivals = new Map<string, Readonly<{actionIndex: number; event: RequestEventOf<'request-arrived'>}>>();
	readonly #answered = new Set<string>();
	readonly #runs: Run[] = [];
	#nowMs = 1000;
	#actionCount = 0;

	constructor() {
		const cluster = fixtureCluster(['127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:3'], {...fixtureLimits, retryBudgetMilli: 500});
		this.entries = [0, 1].map(() => ({
			state: initialRequestState, cluster, appends: [], tailReads: [], tailConfirmedSentAtMs: 0, forwards: [], answers: [], firstForwards: 0, retries: 0,
		}));
	}

	act(action: number, choice: number): void {
		this.#actionCount++;
		const entry = this.entries[choice % 2]!;
		const pick = Math.floor(choice / 2);
		const actions = [
			() => {
				this.#arrive(entry, pick);
			},
			() => {
				this.#applyNext(entry);
			},
			() => {
				this.#log.push(...entry.appends.splice(0, 1));
			},
			() => {
				this.#deliverForward(entry, pick);
			},
			() => {
				this.#deliverAnswer(entry, pick);
			},
			() => {
				this.#readTail(entry, pick);
			},
			() => {
				this.#nowMs += [0, 1, 30, 700, 4000][pick % 5]!;
			},
			() => {
				this.#run(entry, {kind: 'tick'});
			},
			() => {
				const requestId = [...entry.state.pending.keys()][pick % Math.max(1, entry.state.pending.size)];
				if (requestId !== undefined) {
					this.#answered.add(requestId);
					this.#run(entry, {kind: 'request-abandoned', requestId});
				}
			},
			() => {
				this.#restartOrLeave(pick);
			},
		];
		// Arrivals, reads and deliveries occur more often than faults.
		actions[[0, 0, 0, 1, 1, 1, 2, 2, 3, 3, 3, 4, 4, 5, 6, 7, 8, 9][action]!]!();
	}

	/** Completes everything in flight, and records as a violation whatever stays in the state. */
	drain(): void {
		for (let round = 0; round < 60; round++) {
			for (const entry of this.entries) {
				this.#log.push(...entry.appends.splice(0));
				this.#applyNext(entry);
				this.#deliverForward(entry, 0);
				this.#deliverAnswer(entry, 1);
				this.#readTail(entry, 1);
				this.#run(entry, {kind: 'tick'});
			}

			this.#nowMs += 250;
		}

		for (const {state, firstForwards, retries} of this.entries) {
			const {pending, claiming, confirming, expiries, services, backendServers} = state;
			const places = [...backendServers.values()].filter(use => use.inFlight !== 0);
			const busy = [...services.values()].filter(({queue, inFlightByClass}) => queue.size > 0 || Object.values(inFlightByClass).some(count => count !== 0));
			if (pending.size + claiming.size + confirming.size + expiries.buckets.size + places.length + busy.length > 0) {
				this.violations.push('a request or a place stays in the state');
			}

			if (retries > firstForwards * 0.5) {
				this.violations.push('the retries exceed the retry budget');
			}
		}

		for (const requestId of this.#arrivals.keys()) {
			if (!this.#answered.has(requestId)) {
				this.violations.push(`${requestId} got no answer`);
			}
		}
	}

	#run(entry: Entry, event: RequestEvent): void {
		const {cluster, tailConfirmedSentAtMs} = entry;
		const reduced = reduceRequests(entry.state, event, fixtureContext(cluster, this.#nowMs, {tailConfirmedSentAtMs}));
		entry.state = reduced.state;
		for (const effect of reduced.effects) {
			this.#execute(entry, effect);
		}
	}

	#execute(entry: Entry, effect: RequestEffect): void {
		switch (effect.kind) {
			case 'append-record': {
				const {kind: _, ...record} = effect.record;
				if ('claimOffset' in record) {
					entry.appends.push({kind: 'release', ...record});
				} else {
					this.#checkEligible(entry, record.backendServerId);
					entry.appends.push({kind: 'claim', entry: this.entries.indexOf(entry), claim: record});
				}

				break;
			}

			case 'confirm-log-tail': {
				entry.tailReads.push({sentAtMs: this.#nowMs, tail: undefined});

				break;
			}

			case 'forward-request': {
				entry.firstForwards += effect.attempt === 1 ? 1 : 0;
				entry.retries += effect.attempt === 1 ? 0 : 1;
				if (effect.claimOffset === undefined) {
					this.#checkEligible(entry, effect.backendServerId);
				}

				entry.forwards.push(effect);

				break;
			}

			case 'answer-request': {
				this.#checkAnswer(effect);

				break;
			}

			case 'cancel-forward': {
				// The forward may still reach the agent, so it stays in flight.
				break;
			}
		}
	}

	#checkEligible({cluster}: Entry, backendServerId: string): void {
		const server = cluster.backendServers.get(backendServerId)!;
		if (server.phase !== 'serving' || cluster.vms.get(server.vmId)!.agentIncarnation !== server.agentIncarnation) {
			this.violations.push(`${backendServerId} got a new request although it is leaving or its agent was replaced`);
		}
	}

	#checkAnswer({requestId, outcome, status}: Extract<RequestEffect, {kind: 'answer-request'}>): void {
		const arrival = this.#arrivals.get(requestId)!;
		if (this.#answered.has(requestId)) {
			this.violations.push(`${requestId} was answered twice`);
		}

		this.#answered.add(requestId);
		const {keyHash} = arrival.event;
		const hasRun = this.#runs.some(run => run.requestId === requestId
			|| (keyHash !== undefined && run.keyHash === keyHash && run.actionIndex < arrival.actionIndex && status !== 422));
		if (outcome === 'refused-not-run' && hasRun) {
			this.violations.push(`${requestId} ran before it was answered "not run"`);
		}
	}

	#arrive(entry: Entry, pick: number): void {
		const requestId = `r${this.#actionCount}`;
		const keyHash = `key${Math.floor(pick / 36) % 2}`;
		const isFirst = [...this.#arrivals.values()].every(({event}) => event.keyHash !== keyHash);
		const keyed = {
			idempotency: 'keyed' as const, keyHash, bodyHash: pick % 11 === 0 ? 'other' : 'body', firstAttempt: isFirst && pick % 2 === 0,
		};
		const event = fixtureArrival(requestId, this.#nowMs, {
			priority: priorityClasses[pick % 3],
			caller: `caller${pick % 4}`,
			deadlineAtMs: this.#nowMs + [50, 3000, 9000][Math.floor(pick / 3) % 3]!,
			...[{}, {idempotency: 'unkeyed' as const}, keyed, keyed][Math.floor(pick / 9) % 4],
		});
		this.#arrivals.set(requestId, {actionIndex: this.#actionCount, event});
		this.#run(entry, event);
	}

	#applyNext(entry: Entry): void {
		const offset = entry.cluster.offset + 1;
		const item = this.#log[offset - 1];
		if (item === undefined) {
			return;
		}

		entry.cluster = {...applyItem(entry.cluster, item, offset), offset};
		const isOwn = item.kind === 'claim' && this.entries[item.entry] === entry;
		this.#run(entry, {kind: 'cluster-advanced', readBackKeyHashes: isOwn ? [item.claim.keyHash] : []});
	}

	/** Records the tail for a new read; at the next call, completes the read or lets it fail. */
	#readTail(entry: Entry, pick: number): void {
		const [read] = entry.tailReads;
		if (read === undefined) {
			return;
		}

		if (read.tail === undefined) {
			read.tail = this.#log.length;
			return;
		}

		entry.tailReads.shift();
		if (pick % 4 === 0) {
			this.#run(entry, {kind: 'tail-unavailable'});
			return;
		}

		while (entry.cluster.offset < read.tail) {
			this.#applyNext(entry);
		}

		entry.tailConfirmedSentAtMs = read.sentAtMs;
		this.#run(entry, {kind: 'tail-confirmed'});
	}

	#deliverForward(entry: Entry, pick: number): void {
		const [effect] = entry.forwards.splice(pick % Math.max(1, entry.forwards.length), 1);
		if (effect === undefined) {
			return;
		}

		const faults: readonly ForwardResult[] = [
			{kind: 'not-sent', message: 'connection refused', canResend},
			{kind: 'broken-before-answer', message: 'reset', canResend},
		];
		entry.answers.push({effect, result: faults[(pick % 12) - 1] ?? this.#executeAtAgent(effect, pick % 12 === 3)});
	}

	#executeAtAgent(effect: ForwardRequestEffect, isBusy: boolean): ForwardResult {
		const agent = this.agents[Number(effect.vmId.slice(2))]!;
		const {keyHash, bodyHash} = this.#arrivals.get(effect.requestId)!.event;
		if (effect.agentIncarnation !== agent.incarnation) {
			return keyHash === undefined ? refusal('agent-replaced', 503) : {kind: 'outcome-unknown', message: 'another incarnation', canResend};
		}

		const recorded = keyHash === undefined ? undefined : agent.keys.get(keyHash);
		if (recorded !== undefined) {
			return recorded === bodyHash ? {kind: 'answered'} : refusal('key-body-mismatch', 422);
		}

		const {claimOffset} = effect;
		const isReleased = keyHash !== undefined && claimOffset! <= (agent.released.get(keyHash) ?? -1);
		if (isReleased || (keyHash !== undefined && agent.isLeaving)) {
			agent.released.set(keyHash, Math.max(claimOffset!, agent.released.get(keyHash) ?? -1));
			return refusal('key-released', 503);
		}

		if (agent.isLeaving || isBusy) {
			return refusal(isBusy ? 'busy' : 'leaving', 503);
		}

		if (keyHash !== undefined) {
			agent.keys.set(keyHash, bodyHash!);
		}

		const {idempotency} = this.#arrivals.get(effect.requestId)!.event;
		const isRepeated = this.#runs.some(run => keyHash === undefined ? run.requestId === effect.requestId : run.keyHash === keyHash);
		if (idempotency !== 'idempotent' && isRepeated) {
			this.violations.push(`${effect.requestId} ran twice`);
		}

		this.#runs.push({requestId: effect.requestId, keyHash, actionIndex: this.#actionCount});
		return {kind: 'answered'};
	}

	/** Delivers an answer to the entry, or loses it. */
	#deliverAnswer(entry: Entry, pick: number): void {
		const [answer] = entry.answers.splice(pick % Math.max(1, entry.answers.length), 1);
		if (answer === undefined) {
			return;
		}

		const {effect: {requestId, attempt, backendServerId}} = answer;
		const isLost = pick % 5 === 0 && answer.result.kind === 'answered';
		const result: ForwardResult = isLost ? {kind: 'broken-before-answer', message: 'reset', canResend} : answer.result;
		if (result.kind === 'answered' && entry.state.pending.has(requestId)) {
			this.#answered.add(requestId);
		}

		this.#run(entry, {
			kind: 'forward-finished', requestId, attempt, backendServerId, result,
		});
	}

	#restartOrLeave(pick: number): void {
		const vm = pick % vmCount;
		const agent = this.agents[vm]!;
		if (pick % 2 === 0) {
			agent.incarnation = `agent${vm}-${this.#actionCount}`;
			agent.keys.clear();
			agent.released.clear();
			this.#log.push({kind: 'agent-restarted', vm, incarnation: agent.incarnation});
		} else {
			agent.isLeaving = true;
			this.#log.push({kind: 'leaving', backendServerId: `b${vm}`});
		}
	}
}

function refusal(errorKind: string, status: number): ForwardResult {
	return {
		kind: 'refused-not-run', errorKind, status, message: errorKind, remedy: 'retry', canResend,
	};
}

function applyItem(cluster: ClusterState, item: LogItem, claimOffset: number): ClusterState {
	if (item.kind === 'claim') {
		const isValid = cluster.vms.get(item.claim.vmId)!.agentIncarnation === item.claim.agentIncarnation && !cluster.keys.has(item.claim.keyHash);
		return isValid ? {...cluster, keys: cluster.keys.set(item.claim.keyHash, {...item.claim, claimOffset})} : cluster;
	}

	if (item.kind === 'release') {
		const claim = cluster.keys.get(item.keyHash);
		return claim?.claimOffset === item.claimOffset && claim.agentIncarnation === item.agentIncarnation
			? {...cluster, keys: cluster.keys.delete(item.keyHash)}
			: cluster;
	}

	if (item.kind === 'leaving') {
		return {...cluster, backendServers: cluster.backendServers.update(item.backendServerId, server => ({...server!, phase: 'leaving' as const}))};
	}

	const agentIncarnation = item.incarnation;
	return {
		...cluster,
		vms: cluster.vms.update(`vm${item.vm}`, vm => ({...vm!, agentIncarnation})),
		backendServers: cluster.backendServers.update(`b${item.vm}`, server => ({...server!, agentIncarnation})),
	};
}

// Guards the invariants I5, I6 and I7: no false "not run", no second run, no new request for a leaving backend server. Guards also
// against retries beyond the budget, a second or missing answer, and requests or places that stay in the state.
test('two entries over one log violate no request invariant in any interleaving', t => {
	const action = fc.tuple(fc.nat(17), fc.nat(719));
	fc.assert(fc.property(fc.array(action, {minLength: 20, maxLength: 250, size: 'max'}), actions => {
		const simulation = new TwoEntrySimulation();
		for (const [kind, choice] of actions) {
			simulation.act(kind, choice);
		}

		simulation.drain();
		t.deepEqual(simulation.violations, []);
	}), {numRuns: Math.max(300, fc.readConfigureGlobal().numRuns ?? 0)});
});
