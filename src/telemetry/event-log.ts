/** Values that a key=value log line may hold. */
export type EventFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes one key=value line per event; `event` is a stable name such as `task-claimed`. Bodies and secrets must not be logged. */
export type EventLog = Readonly<{
	debug: (event: string, fields?: EventFields) => void;
	info: (event: string, fields?: EventFields) => void;
	warn: (event: string, fields?: EventFields) => void;
	error: (event: string, fields?: EventFields) => void;
}>;
