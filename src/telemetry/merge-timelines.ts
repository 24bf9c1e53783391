import {type TimelineEvent} from './timeline-event.js';

/** An event with the place that it takes among the events of all processes. */
type Candidate = Readonly<{event: TimelineEvent; offset: number; queue: Queue}>;

type Queue = {readonly events: readonly TimelineEvent[]; next: number; offset: number};

/**
Merges the events of several processes into one order that keeps each process's own order and puts no effect before its cause.
Events that neither of these orders are placed by log offset, then by wall time, process and sequence.

An event whose `cause` names a request or a task follows the first event of another process that carries this identifier
and is no effect of it, and names the same VM if any does. An event counts as being at the highest offset that its process or its cause had reached, because
agents report lower offsets than entries. An event that arrives through several entries is kept once.

@example
mergeTimelines([entryEvents, agentEvents]);
*/
export function mergeTimelines(timelines: ReadonlyArray<readonly TimelineEvent[]>): readonly TimelineEvent[] {
	const queues = queuesByProcess(timelines.flat());
	const causes = findCauses(queues);
	const offsetByEvent = new Map<TimelineEvent, number>();
	const merged: TimelineEvent[] = [];
	const waiting = new Set(queues);
	while (waiting.size > 0) {
		const heads = [...waiting].map(queue => candidate(queue, causes, offsetByEvent));
		const ready = heads.filter(({event}) => {
			const cause = causes.get(event);
			return cause === undefined || offsetByEvent.has(cause);
		});
		// Events that were lost from a ring can make causes contradict each other; then the earliest event goes first.
		const chosen = earliest(ready.length > 0 ? ready : heads);
		offsetByEvent.set(chosen.event, chosen.offset);
		merged.push(chosen.event);
		chosen.queue.offset = chosen.offset;
		chosen.queue.next++;
		if (chosen.queue.next === chosen.queue.events.length) {
			waiting.delete(chosen.queue);
		}
	}

	return merged;
}

function queuesByProcess(events: readonly TimelineEvent[]): readonly Queue[] {
	const byProcess = new Map<string, Map<number, TimelineEvent>>();
	for (const event of events) {
		const ofProcess = byProcess.get(event.process) ?? new Map<number, TimelineEvent>();
		byProcess.set(event.process, ofProcess.set(event.sequence, event));
	}

	return [...byProcess.entries()]
		.toSorted(([left], [right]) => compareText(left, right))
		.map(([, ofProcess]) => ({
			events: [...ofProcess.values()].toSorted((left, right) => left.sequence - right.sequence),
			next: 0,
			offset: -1,
		}));
}

/** Finds the event that each effect must follow. */
function findCauses(queues: readonly Queue[]): ReadonlyMap<TimelineEvent, TimelineEvent> {
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

		const onVm = originOnVm(event.cause, event.vmId);
		const found = (onVm === undefined ? undefined : origins.get(onVm)) ?? origins.get(event.cause) ?? [];
		const others = found.filter(origin => origin.process !== event.process);
		const cause = others.toSorted(compareEvents)[0];
		if (cause !== undefined) {
			causes.set(event, cause);
		}
	}

	return causes;
}

/** A task may be claimed for several VMs in turn; each VM's events follow the claim that names it. */
function originKeys({requestId, taskId, cause, vmId}: TimelineEvent): readonly string[] {
	return [requestId, taskId]
		.filter((id): id is string => id !== undefined && id !== cause)
		.flatMap(id => [id, originOnVm(id, vmId)])
		.filter(key => key !== undefined);
}

function originOnVm(id: string, vmId: string | undefined): string | undefined {
	return vmId === undefined ? undefined : `${id} on ${vmId}`;
}

function candidate(queue: Queue, causes: ReadonlyMap<TimelineEvent, TimelineEvent>, offsetByEvent: ReadonlyMap<TimelineEvent, number>): Candidate {
	const event = queue.events[queue.next]!;
	const cause = causes.get(event);
	const causeOffset = cause === undefined ? -1 : offsetByEvent.get(cause) ?? -1;
	return {event, offset: Math.max(event.offset, queue.offset, causeOffset), queue};
}

function earliest(candidates: readonly Candidate[]): Candidate {
	let best = candidates[0]!;
	for (const other of candidates) {
		if (other.offset < best.offset || (other.offset === best.offset && compareByTime(other.event, best.event) < 0)) {
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
