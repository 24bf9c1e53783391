/** Flags of V8 for the agent: the young generation stays at its first size; by default it grows to 16 MB and stays there. */
export const agentFlags = '--semi-space-growth-factor=1';
