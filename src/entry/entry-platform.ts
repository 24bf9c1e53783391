import {type LogService} from '../log/log-service.js';
import {type Readiness} from './caller-server.js';
import {type JobInterface} from './job-interface.js';

/** What the users' platform provides to an entry that runs on it: its log service, used in place of the HTTP log service, and additional interfaces. */
export type EntryPlatform = Readonly<{
	logService: LogService;
	/** Opens the interfaces through which the platform uses the entry. */
	open: (parts: Readonly<{
		jobs: JobInterface;
		readiness: () => Readiness;
		/** Time of day in Unix milliseconds, without the short jumps of the VM's clock. */
		wallTimeMs: () => number;
	}>) => Promise<void>;
	/** Returns whether the configuration that the platform's operator published has been read. */
	isConfigured: () => boolean;
	/** Accepts no new connections, completes the requests in flight and closes. */
	close: () => Promise<void>;
}>;
