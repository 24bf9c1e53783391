/** Token bucket that limits retries, in thousandths of a retry. */
export type RetryBudget = Readonly<{tokensMilli: number}>;

/** The cost of one retry. */
const retryCostMilli = 1000;

/** Bounds the burst after a long time without retries to 20 retries. */
const maxTokensMilli = 20_000;

/** A budget starts empty, so retries never exceed their share of the requests made so far. */
export const emptyRetryBudget: RetryBudget = {tokensMilli: 0};

/**
Credits the budget for one request that was forwarded for the first time.

@example
creditRequest({tokensMilli: 0}, 100); // => {tokensMilli: 100}
*/
export function creditRequest(budget: RetryBudget, retryBudgetMilli: number): RetryBudget {
	return {tokensMilli: Math.min(maxTokensMilli, budget.tokensMilli + retryBudgetMilli)};
}

/**
Returns the budget after one retry, or `undefined` when it does not cover a retry.

@example
takeRetry({tokensMilli: 1100}); // => {tokensMilli: 100}
*/
export function takeRetry(budget: RetryBudget): RetryBudget | undefined {
	return budget.tokensMilli < retryCostMilli ? undefined : {tokensMilli: budget.tokensMilli - retryCostMilli};
}
