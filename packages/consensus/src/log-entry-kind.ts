/** The kinds of log entries. */
export const LOG_ENTRY_KIND = {
	Command: 'command',
	Configuration: 'configuration',
	Empty: 'empty',
} as const;
