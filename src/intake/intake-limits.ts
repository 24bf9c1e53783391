export type IntakeLimits = Readonly<{
	/** Connections of all servers of the process. */
	connections: number;
	/** Bytes of all bodies that the process is receiving. */
	bodyBytes: number;
	/** Connections that wait to be accepted at a server; the kernel already takes in what they send. */
	pendingConnections: number;
}>;

/** Largest buffer of a small body; most jobs are smaller. */
export const smallBodyBytes = 16_384;

/** Most connections of an entry. With the log, its connections and 200 files they stay below the 4,100 descriptors of a VM. */
const entryConnections = 3072;

/** Bytes of the bodies that an entry receives; 36 of the callers' largest jobs at once, in a tenth of the smallest VM's memory. */
const entryBodyBytes = 25_165_824;

/** Most connections of an agent, which talks with one worker, its backend servers and the entries. */
const agentConnections = 1024;

/** Bytes of the bodies that an agent receives; 24 of the largest announcements at once. */
const agentBodyBytes = 4_194_304;

/** Node.js accepts a connection with each iteration of its event loop, so that ordinary callers fill this queue only while iterations take long. */
const pendingConnections = 128;

/** Smallest limits that can be set: each group of servers still has a few connections, and room for the largest body of a job. */
export const minEntryIntakeLimits: IntakeLimits = {connections: 128, bodyBytes: 12_582_912, pendingConnections: 64};
export const minAgentIntakeLimits: IntakeLimits = {connections: 64, bodyBytes: 524_288, pendingConnections: 64};

export const defaultEntryIntakeLimits: IntakeLimits = {connections: entryConnections, bodyBytes: entryBodyBytes, pendingConnections};
export const defaultAgentIntakeLimits: IntakeLimits = {connections: agentConnections, bodyBytes: agentBodyBytes, pendingConnections};
