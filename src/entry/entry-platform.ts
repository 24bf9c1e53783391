import {type LogService} from '../log/log-service.js';
import {type Readiness} from './caller-server.js';
import {type JobInterface} from './job-interface.js';

/** What an entry is offered by the platform that it runs on, in place of the plain log service and beside its own interfaces. */
export type EntryPlatform = Readonly<{
	logService: LogService;
	/** Opens the platform's interfaces of the entry. */
	open: (parts: Readonly<{jobs: JobInterface; readiness: () => Readiness}>) => Promise<void>;
	/** Whether the configuration that the platform's operator published is known. */
	isConfigured: () => boolean;
	/** Takes no new connections, ends the requests in flight and closes. */
	close: () => Promise<void>;
}>;
