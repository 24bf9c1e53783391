import {formatError} from './errors/typed-error.js';
import {type EntrySettings} from './settings/entry-settings.js';
import {type AgentSettings} from './settings/agent-settings.js';
import {type EventLog} from './telemetry/event-log.js';
import {type Metrics} from './telemetry/metrics.js';
import {type Timeline} from './telemetry/timeline-event.js';

/** What runs until it is stopped. */
export type RoleProcess = Readonly<{stop: () => Promise<void>}>;

/** What every role is started with. */
export type RoleContext<Settings> = Readonly<{settings: Settings; eventLog: EventLog; metrics: Metrics; timeline: Timeline}>;

type StartRole<Settings> = (context: RoleContext<Settings>) => Promise<RoleProcess>;

/** Starts each role; its modules are loaded only then, so that no process loads the other role's modules. */
export const startRole: Readonly<{entry: StartRole<EntrySettings>; agent: StartRole<AgentSettings>}> = {
	async entry(context) {
		const [{startEntry}, {readTokenFile}] = await Promise.all([
			import('./entry/entry-process.js'), import('./operator/read-token-file.js'),
		]);
		const token = await readTokenFile(context.settings.operatorTokenFile);
		if (token.isErr) {
			throw new Error(formatError(token.error));
		}

		return startEntry({...context, token: token.value});
	},
	async agent(context) {
		const [{startAgent}, {createWorkerClient}] = await Promise.all([
			import('./agent/agent-process.js'), import('./platform/worker-client.js'),
		]);
		const client = createWorkerClient(context.settings.workerUrl);
		const worker = {
			...client, listTasks: client.tasks, setLease: client.renewLease, readUsage: client.usage,
		};
		const agent = await startAgent({...context, worker});
		if (agent.isErr) {
			await client.close();
			throw new Error(formatError(agent.error));
		}

		return {
			async stop() {
				await agent.value.stop();
				await client.close();
			},
		};
	},
};
