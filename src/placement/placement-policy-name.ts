/** Names of the placement policies; the ones after the first are baselines for comparison. */
export const placementPolicyNames = ['least-harm', 'first-fit', 'least-loaded'] as const;

export type PlacementPolicyName = typeof placementPolicyNames[number];
