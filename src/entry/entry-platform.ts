import {type EvacuationRequests} from '../cluster/evacuations.js';
import {type LogService} from '../log/log-service.js';
import {type EntryRegistry} from '../membership/entry-registry.js';
import {type Readiness} from './caller-server.js';
import {type JobInterface} from './job-interface.js';

/** What the users' platform provides to an entry that runs on it: its log service, a registry of entries, and interfaces for callers and agents. */
export type EntryPlatform = Readonly<{
	logService: LogService;
	registry: EntryRegistry;
	/** Opens the interfaces through which the platform uses the entry. */
	open: (parts: Readonly<{
		jobs: JobInterface;
		readiness: () => Readiness;
		/** Time of day in Unix milliseconds, without the short jumps of the VM's clock. */
		wallTimeMs: () => number;
	}>) => Promise<void>;
	/** Announces the address for agents' streams; called once the entry takes them. */
	announceToAgents: () => void;
	/** Returns whether the configuration that the platform's operator published has been read. */
	isConfigured: () => boolean;
	/** Returns what was read of the operator's evacuations; undefined until then. */
	evacuationRequests: () => EvacuationRequests | undefined;
	/** Accepts no new connections, completes the requests in flight and closes. */
	close: () => Promise<void>;
}>;
