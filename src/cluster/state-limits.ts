/** Finished jobs that stay in the state, for `status` and `explain`. */
export const MAX_FINISHED_JOBS = 2000;

/**
Queued tasks of a priority class, of 1 KB each, beyond which none are created for workflows that have some, so that the size of the state follows from the
jobs and from what runs, not from the `count` of their steps. It is exceeded by one task for each further job and by tasks that are queued again.
*/
export const MAX_QUEUED_TASKS_PER_CLASS = 8000;

/** Queued tasks of a priority class up to which a workflow may have more than `MAX_QUEUED_TASKS_OF_SMALL_JOB`. */
export const MAX_QUEUED_TASKS_OF_LARGE_JOBS = 4000;

/** Queued tasks that a workflow may have beside large ones, so that an ordinary job is not created one task after the other. */
export const MAX_QUEUED_TASKS_OF_SMALL_JOB = 16;

/** Tasks of finished jobs without a workflow that stay in the state. Such a job has up to 1,000 tasks, so the limit on jobs alone does not bound the state. */
export const MAX_FINISHED_TASKS = 40_000;

/** Plan decisions that stay in the state, so that a plan confirmed twice is decided once. */
export const MAX_PLAN_DECISIONS = 1000;

/** Ended writer incarnations that stay in the state. A delayed registration of an ended incarnation is accepted only after this many further ends. */
export const MAX_ENDED_INCARNATIONS = 1000;

/** Expired VMs that stay in the state. 400 VMs a day fail or are replaced, so this covers several days. */
export const MAX_EXPIRED_VMS = 2000;

/** Distinct offers of workers that stay in the state, of 100 bytes each: kinds of VMs times racks, with room for kinds that come later. */
export const MAX_VM_OFFERS = 256;

/** Backend servers in phase `gone` that stay in the state, for `status`. */
export const MAX_GONE_BACKEND_SERVERS = 1000;

/** Former agent incarnations stored for each VM, whose late registrations are ignored. */
export const MAX_FORMER_INCARNATIONS = 16;

/** Failed attempts after which a task fails, unless its workflow sets another limit; also the number of VMs stored in `failedOnVmIds`. */
export const MAX_TASK_FAILURES = 5;

/** Finished jobs of workflows that stay in the state, of 100 bytes each. At 40 jobs a second, a job can be queried for 120 s after its end. */
export const MAX_FINISHED_WORKFLOWS = 5000;

/** Evacuations that were removed and stay in the state, so that a stale request does not take effect again. A deployment has a dozen failure domains. */
export const MAX_REMOVED_EVACUATIONS = 256;

/** Cancellations of unknown jobs that stay in the state, of 50 bytes each. */
export const MAX_EARLY_CANCELLATIONS = 5000;
