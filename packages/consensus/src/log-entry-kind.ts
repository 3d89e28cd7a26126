/** What a log entry holds. */
export const LOG_ENTRY_KIND = {
	Command: 'command',
	Configuration: 'configuration',
	Empty: 'empty',
} as const;
