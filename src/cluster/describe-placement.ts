/**
Describes why a placement chose its VM.

@example
describePlacement(20, 24); // => 'best score of 20 feasible VMs among 24 considered'
*/
export function describePlacement(feasibleVms: number, consideredVms: number): string {
	return `best score of ${feasibleVms} feasible VMs among ${consideredVms} considered`;
}
