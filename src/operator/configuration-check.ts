/** What is wrong with a configuration. An error is what never takes effect as written, or contradicts another field; a warning is only unlikely to be meant. */
export type ConfigurationProblem = Readonly<{
	severity: 'error' | 'warning';
	kind: string;
	/** Path of the field, such as `version`, with positions in lists counted from 0; empty for the configuration as a whole. */
	path: string;
	message: string;
	remedy: string;
}>;

/** One difference between two configurations. */
export type ConfigurationDifference = Readonly<{
	change: 'added' | 'removed' | 'changed';
	/** The part of the configuration that was added, removed or changed. */
	subject: string;
	/** Field of a changed part; left out for an added or removed one. */
	field?: string;
	/** Undefined for a field that is new. */
	before?: unknown;
	/** Undefined for a field that is gone. */
	after?: unknown;
}>;

/** Result of the check of a configuration, alone or against the one in force. */
export type ConfigurationCheck = Readonly<{
	/** Undefined when the configuration cannot be decoded. */
	version: number | undefined;
	problems: readonly ConfigurationProblem[];
	/** Undefined without a configuration in force, or when it cannot be decoded. */
	againstVersion: number | undefined;
	/** Why the configuration in force cannot be decoded. */
	againstProblems: readonly ConfigurationProblem[];
	differences: readonly ConfigurationDifference[];
}>;

/** Checks the text of a configuration; `againstText` is that of the configuration in force. */
export type CheckConfiguration = (text: string, againstText?: string) => ConfigurationCheck;
