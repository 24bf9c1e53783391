/** Groups of servers by those who connect to them. */
export const intakeGroups = ['callers', 'agents', 'relay', 'readiness', 'operators', 'metrics', 'executors', 'entries'] as const;

export type IntakeGroup = (typeof intakeGroups)[number];

/** Shares of the limits of a process. The shares of all groups sum up to 1 at most. */
export type IntakeShares = Readonly<Record<IntakeGroup, Readonly<{
	connections: number;
	bodyBytes: number;
	/** Share of the group's bytes that larger bodies never use. */
	smallBodies: number;
}>>>;

const none = {connections: 0, bodyBytes: 0, smallBodies: 0};

/** Shares in an entry. The operators' share of the default bytes holds their largest request, 8 MB. */
export const entryIntakeShares: IntakeShares = {
	callers: {connections: 1 / 2, bodyBytes: 1 / 2, smallBodies: 1 / 4},
	agents: {...none, connections: 1 / 4},
	relay: {connections: 1 / 8, bodyBytes: 1 / 6, smallBodies: 0},
	readiness: {...none, connections: 1 / 16},
	operators: {connections: 1 / 32, bodyBytes: 1 / 3, smallBodies: 0},
	metrics: {...none, connections: 1 / 32},
	executors: none,
	entries: none,
};

/** Shares in an agent. Entries send requests and backend servers send notices to one server; executors announce themselves to another. */
export const agentIntakeShares: IntakeShares = {
	callers: none,
	agents: none,
	relay: none,
	readiness: none,
	operators: none,
	metrics: {...none, connections: 1 / 8},
	executors: {connections: 3 / 8, bodyBytes: 1 / 2, smallBodies: 1 / 4},
	entries: {connections: 1 / 2, bodyBytes: 1 / 2, smallBodies: 1 / 4},
};
