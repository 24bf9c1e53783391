import {type Result} from 'true-myth/result';
import {type AnnouncedEntry} from './entry-role.js';

/** An announcement as the registry holds it; its age is judged by the reader. */
export type RegisteredEntry = Omit<AnnouncedEntry, 'age'>;

/** Where all entries announce what they do, also those that do not write to the log. It keeps the newest announcement of each entry. */
export type EntryRegistry = Readonly<{
	announce: (entry: Omit<RegisteredEntry, 'offset'>) => Promise<Result<void, Readonly<{message: string}>>>;
	/** Returns the announcements that can be used. */
	read: () => Promise<Result<readonly RegisteredEntry[], Readonly<{message: string}>>>;
}>;
