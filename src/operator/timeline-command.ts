import {writeFile} from 'node:fs/promises';
import {messageOf} from '../errors/message-of.js';
import {formatError, type TypedError} from '../errors/typed-error.js';
import {filterTimeline, type TimelineFilter} from '../telemetry/filter-timeline.js';
import {mergeTimelines} from '../telemetry/merge-timelines.js';
import {renderTimelineHtml} from '../telemetry/render-timeline-html.js';
import {renderTimelineText} from '../telemetry/render-timeline-text.js';
import {type TimelineEvent} from '../telemetry/timeline-event.js';
import {type CommandOutput, type ExitStatus, failCommand} from './command-output.js';
import {type ConnectionOptions, withClient} from './with-client.js';

export type TimelineOptions = Readonly<{
	connection: ConnectionOptions;
	filter: TimelineFilter;
	/** File that a self-contained page is written to. */
	htmlFile: string | undefined;
	json: boolean;
}>;

/**
Merges the timelines of all named entries and of their agents, and prints the events or writes them to a page.
The error of an entry that does not answer is printed, and its events are missing.

@example
await runTimelineCommand({connection, filter: {taskId: 't1'}, htmlFile: undefined, json: false}, output);
*/
export async function runTimelineCommand(options: TimelineOptions, output: CommandOutput): Promise<ExitStatus> {
	return withClient(options.connection, output, async client => {
		const answers = await Promise.all(options.connection.entryAddresses.map(async address => client.timeline(address, 0)));
		const timelines: Array<readonly TimelineEvent[]> = [];
		const failures: TypedError[] = [];
		for (const answer of answers) {
			if (answer.isOk) {
				timelines.push(answer.value);
			} else {
				failures.push(answer.error);
			}
		}

		for (const failure of failures) {
			output.printError(formatError(failure));
		}

		if (timelines.length === 0) {
			return 1;
		}

		const events = filterTimeline(mergeTimelines(timelines), options.filter);
		if (options.htmlFile !== undefined) {
			try {
				await writeFile(options.htmlFile, renderTimelineHtml(events));
			} catch (error) {
				return failCommand(output, {kind: 'timeline-unwritable', message: messageOf(error), remedy: 'name a file that can be written with --html'});
			}
		}

		if (options.json) {
			output.print(JSON.stringify({events}, undefined, '\t'));
		} else if (options.htmlFile === undefined) {
			output.print(renderTimelineText(events));
		} else {
			output.print(`${events.length} events were written to ${options.htmlFile}`);
		}

		return 0;
	});
}
