/** Names of the placement policies: the default, then baselines for comparison. */
export const placementPolicyNames = ['least-harm', 'first-fit', 'least-loaded'] as const;

export type PlacementPolicyName = typeof placementPolicyNames[number];
