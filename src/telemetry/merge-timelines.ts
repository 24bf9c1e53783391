import {type TimelineEvent} from './timeline-event.js';

/** The next event of a process, with the offset that it is sorted by. */
type Candidate = Readonly<{event: TimelineEvent; sortOffset: number; queue: ProcessQueue}>;

/** The events of one process, in order, and the sort offset of the last one that was merged. */
type ProcessQueue = {readonly events: readonly TimelineEvent[]; nextIndex: number; reachedOffset: number};

/**
Merges the events of several processes into one list that preserves the order of each process and puts no effect before its cause.
Beyond these two rules, events are sorted by log offset, then by wall time, process and sequence.

An event with a `cause` follows the first event of another process that carries this request or task identifier and is not itself
caused by it; events that name the same VM take precedence. For sorting, the offset of an event is the highest among its own and those
that its process and its cause had reached, because agents report lower offsets than entries. An event that arrives through several
entries is listed once.

@example
mergeTimelines([entryEvents, agentEvents]);
*/
export function mergeTimelines(timelines: ReadonlyArray<readonly TimelineEvent[]>): readonly TimelineEvent[] {
	const queues = queuesByProcess(timelines.flat());
	const causes = findCauses(queues);
	const offsetByEvent = new Map<TimelineEvent, number>();
	const merged: TimelineEvent[] = [];
	const unfinishedQueues = new Set(queues);
	while (unfinishedQueues.size > 0) {
		const candidates = [...unfinishedQueues].map(queue => nextCandidate(queue, causes, offsetByEvent));
		const ready = candidates.filter(({event}) => {
			const cause = causes.get(event);
			return cause === undefined || offsetByEvent.has(cause);
		});
		// When events were lost from a ring buffer, causes can form a cycle; then the earliest event goes first.
		const chosen = earliestCandidate(ready.length > 0 ? ready : candidates);
		offsetByEvent.set(chosen.event, chosen.sortOffset);
		merged.push(chosen.event);
		chosen.queue.reachedOffset = chosen.sortOffset;
		chosen.queue.nextIndex++;
		if (chosen.queue.nextIndex === chosen.queue.events.length) {
			unfinishedQueues.delete(chosen.queue);
		}
	}

	return merged;
}

function queuesByProcess(events: readonly TimelineEvent[]): readonly ProcessQueue[] {
	const byProcess = new Map<string, Map<number, TimelineEvent>>();
	for (const event of events) {
		const eventsBySequence = byProcess.get(event.process) ?? new Map<number, TimelineEvent>();
		byProcess.set(event.process, eventsBySequence.set(event.sequence, event));
	}

	return [...byProcess.entries()]
		.toSorted(([left], [right]) => compareText(left, right))
		.map(([, eventsBySequence]) => ({
			events: [...eventsBySequence.values()].toSorted((left, right) => left.sequence - right.sequence),
			nextIndex: 0,
			reachedOffset: -1,
		}));
}

/** Returns the event that each effect must follow. */
function findCauses(queues: readonly ProcessQueue[]): ReadonlyMap<TimelineEvent, TimelineEvent> {
	const origins = new Map<string, readonly TimelineEvent[]>();
	for (const {events} of queues) {
		const seen = new Set<string>();
		for (const event of events) {
			for (const key of originKeys(event).filter(each => !seen.has(each))) {
				seen.add(key);
				origins.set(key, [...origins.get(key) ?? [], event]);
			}
		}
	}

	const causes = new Map<TimelineEvent, TimelineEvent>();
	for (const event of queues.flatMap(queue => queue.events)) {
		if (event.cause === undefined) {
			continue;
		}

		const onVm = originKeyOnVm(event.cause, event.vmId);
		const found = (onVm === undefined ? undefined : origins.get(onVm)) ?? origins.get(event.cause) ?? [];
		const otherProcessOrigins = found.filter(origin => origin.process !== event.process);
		const cause = otherProcessOrigins.toSorted(compareEvents)[0];
		if (cause !== undefined) {
			causes.set(event, cause);
		}
	}

	return causes;
}

/** Returns the keys under which an effect finds its cause. A task may be claimed for several VMs in turn; each VM's events follow the claim that names it. */
function originKeys({requestId, taskId, cause, vmId}: TimelineEvent): readonly string[] {
	return [requestId, taskId]
		.filter((id): id is string => id !== undefined && id !== cause)
		.flatMap(id => [id, originKeyOnVm(id, vmId)])
		.filter(key => key !== undefined);
}

function originKeyOnVm(id: string, vmId: string | undefined): string | undefined {
	return vmId === undefined ? undefined : `${id} on ${vmId}`;
}

function nextCandidate(queue: ProcessQueue, causes: ReadonlyMap<TimelineEvent, TimelineEvent>, offsetByEvent: ReadonlyMap<TimelineEvent, number>): Candidate {
	const event = queue.events[queue.nextIndex]!;
	const cause = causes.get(event);
	const causeOffset = cause === undefined ? -1 : offsetByEvent.get(cause) ?? -1;
	return {event, sortOffset: Math.max(event.offset, queue.reachedOffset, causeOffset), queue};
}

function earliestCandidate(candidates: readonly Candidate[]): Candidate {
	let best = candidates[0]!;
	for (const other of candidates) {
		if (other.sortOffset < best.sortOffset || (other.sortOffset === best.sortOffset && compareByTime(other.event, best.event) < 0)) {
			best = other;
		}
	}

	return best;
}

function compareEvents(left: TimelineEvent, right: TimelineEvent): number {
	return left.offset - right.offset || compareByTime(left, right);
}

function compareByTime(left: TimelineEvent, right: TimelineEvent): number {
	return left.wallTimeMs - right.wallTimeMs || compareText(left.process, right.process) || left.sequence - right.sequence;
}

function compareText(left: string, right: string): number {
	if (left === right) {
		return 0;
	}

	return left < right ? -1 : 1;
}
