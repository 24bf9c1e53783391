import {type EventLog} from '../telemetry/event-log.js';
import {createLineLimit} from '../telemetry/line-limit.js';
import {createIntakeAccount, type IntakeAccount} from './intake-account.js';
import {type IntakeLimits, smallBodyBytes} from './intake-limits.js';
import {intakeGroups, type IntakeGroup, type IntakeShares} from './intake-shares.js';

/** A connection or an open body. `shed` refuses it and closes its connection. */
export type IntakeMember = Readonly<{shed: () => void}>;

/** The part of an account for the connections or the open bodies of one group of servers. */
export type IntakePart = Readonly<Pick<IntakeAccount<IntakeMember>, 'complete' | 'begin' | 'release' | 'used'> & {
	/** Counts a member with an amount and sheds what has to make room for it; returns false when the member itself is refused. */
	claim: (member: IntakeMember, amount: number) => boolean;
}>;

export type RefusalReason = 'connections-full' | 'bodies-full' | 'chunks-too-small' | 'body-too-large' | 'body-too-slow' | 'body-cut' | 'header-too-large' | 'header-too-slow' | 'requests-pipelined';

/** Refusals of one group for one reason, since the last call. */
export type RefusalCount = Readonly<{group: IntakeGroup; reason: RefusalReason; count: number}>;

/** Account of a process for all its servers: their connections, one each, and the bytes of the bodies that they receive. */
export type Intake = Readonly<{
	/** Length of the queue of connections that wait to be accepted at a server. Agents connect at once after a restart and have a longer one. */
	pendingConnections: number;
	connections: (group: IntakeGroup) => IntakePart;
	bodies: (group: IntakeGroup) => IntakePart;
	/** Bodies that arrive in many small chunks, one each; they cost far more processor time than their bytes. */
	finelyChunkedBodies: (group: IntakeGroup) => IntakePart;
	/** Counts and logs a refused body or connection. */
	recordRefusal: (group: IntakeGroup, reason: RefusalReason) => void;
	takeRefusals: () => readonly RefusalCount[];
}>;

/** Bodies in small chunks that each group receives at once; one read of such a body holds the event loop for about 16 ms. */
const maxFinelyChunkedBodies = 4;

/** Lines a second about refusals of all kinds. */
const refusalLinesPerSecond = 2;

/**
Creates the account of a process. Each group of servers has its own share of the limits, so that a crowd at one server never sheds the
connections of another one.

@example
const intake = createIntake({limits: settings.intake, shares: entryIntakeShares, eventLog, nowMs});
const connections = intake.connections('callers');
*/
export function createIntake({limits, shares, eventLog, nowMs}: Readonly<{
	limits: IntakeLimits;
	shares: IntakeShares;
	eventLog: EventLog;
	nowMs: () => number;
}>): Intake {
	const counts = new Map<string, RefusalCount>();
	const lineLimit = createLineLimit({linesPerSecond: refusalLinesPerSecond});

	function recordRefusal(group: IntakeGroup, reason: RefusalReason): void {
		const key = `${group} ${reason}`;
		counts.set(key, {group, reason, count: (counts.get(key)?.count ?? 0) + 1});
		const {isAllowed, omitted} = lineLimit(nowMs());
		if (isAllowed) {
			eventLog.warn('intake-refused', {
				server: group, reason, connections: connections.get(group)!.used(), bodyBytes: bodies.get(group)!.used(), omitted: omitted === 0 ? undefined : omitted,
			});
		}
	}

	function createPart(group: IntakeGroup, fullReason: RefusalReason, account: IntakeAccount<IntakeMember>): IntakePart {
		return {
			...account,
			claim(member, amount) {
				const {isAdmitted, shed} = account.claim(member, amount);
				for (const shedMember of shed) {
					recordRefusal(group, fullReason);
					shedMember.shed();
				}

				if (!isAdmitted) {
					recordRefusal(group, fullReason);
				}

				return isAdmitted;
			},
		};
	}

	const createParts = (create: (group: IntakeGroup) => IntakePart): ReadonlyMap<IntakeGroup, IntakePart> => new Map(intakeGroups.map(group => [group, create(group)]));
	const connections = createParts(group => createPart(group, 'connections-full', createIntakeAccount({
		limit: Math.floor(limits.connections * shares[group].connections),
	})));
	const bodies = createParts(group => {
		const limit = Math.floor(limits.bodyBytes * shares[group].bodyBytes);
		return createPart(group, 'bodies-full', createIntakeAccount({limit, reserved: Math.floor(limit * shares[group].smallBodies), smallAmount: smallBodyBytes}));
	});

	const finelyChunkedBodies = createParts(group => createPart(group, 'chunks-too-small', createIntakeAccount({limit: maxFinelyChunkedBodies})));

	return {
		pendingConnections: limits.pendingConnections,
		connections: group => connections.get(group)!,
		bodies: group => bodies.get(group)!,
		finelyChunkedBodies: group => finelyChunkedBodies.get(group)!,
		recordRefusal,
		takeRefusals() {
			const taken = [...counts.values()];
			counts.clear();
			return taken;
		},
	};
}
