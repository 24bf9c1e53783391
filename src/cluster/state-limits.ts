/** Finished jobs that are remembered for `status` and `explain`. */
export const MAX_FINISHED_JOBS = 2000;

/** Tasks of finished jobs that are remembered; a job holds up to 1,000 tasks, so the number of jobs alone does not bound the state. */
export const MAX_FINISHED_TASKS = 40_000;

/** Plan decisions that are remembered, so that a plan confirmed twice is decided once. */
export const MAX_PLAN_DECISIONS = 1000;

/** Ended writer incarnations that are remembered; only a registration that was delayed past that many restarts could slip through. */
export const MAX_ENDED_INCARNATIONS = 1000;

/** Expired VMs that are remembered; 400 VMs a day fail or are replaced, so this is several days. */
export const MAX_EXPIRED_VMS = 2000;

/** Gone backend servers that are remembered for `status`. */
export const MAX_GONE_BACKEND_SERVERS = 1000;

/** Earlier incarnations of an agent that are remembered for each VM. */
export const MAX_FORMER_INCARNATIONS = 16;

/** Failed attempts after which a task counts as failed; as many VMs are remembered in `failedOnVmIds`. */
export const MAX_TASK_FAILURES = 5;

/** Finished jobs of workflows that are remembered: 120 s of status queries at 40 jobs a second, and 100 bytes each. */
export const MAX_FINISHED_WORKFLOWS = 5000;
