/** V8 flags of the agent: the young generation keeps its initial size. By default it grows to 16 MB and does not shrink again. */
export const agentV8Flags = '--semi-space-growth-factor=1';
