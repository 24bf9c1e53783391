import {readFile} from 'node:fs/promises';
import test from 'ava';
import {renderSettingsPage} from '../../scripts/settings-page.js';
import {agentSettingsSchema} from './agent-settings.js';
import {deploymentSettingsSchema, type DeploymentSettings} from './deployment-settings.js';
import {entrySettingsSchema} from './entry-settings.js';
import {loadSettings} from './load-settings.js';

async function loadDeployment(name: string): Promise<DeploymentSettings> {
	const settings = await loadSettings(`examples/${name}.yaml`, deploymentSettingsSchema);
	return settings.isOk ? settings.value : Promise.reject(new Error(settings.error.message));
}

for (const name of ['bakehouse', 'tankwright']) {
	test(`the example settings of ${name} are valid and name a failure domain of the deployment`, async t => {
		const deployment = await loadDeployment(name);
		const entry = await loadSettings(`examples/${name}-entry.yaml`, entrySettingsSchema);
		const agent = await loadSettings(`examples/${name}-agent.yaml`, agentSettingsSchema);
		t.is(entry.isErr ? entry.error.message : '', '');
		t.is(agent.isErr ? agent.error.message : '', '');
		t.true(entry.isOk && deployment.failureDomains.includes(entry.value.failureDomain));
		t.true(agent.isOk && deployment.failureDomains.includes(agent.value.failureDomain));
	});
}

test('the example deployments hold the figures of the design', async t => {
	const bakehouse = await loadDeployment('bakehouse');
	const tankwright = await loadDeployment('tankwright');
	const common = {
		workers: {count: 11, perRack: 3, guardsEnabled: true},
		backendServers: {count: 11, slots: 8, connections: 64},
	};
	t.like(bakehouse, {
		...common, failureDomains: ['Kalgoorlie', 'Coolgardie', 'Kambalda', 'Menzies'], delays: {betweenFailureDomainsMs: 0.5, toClientsMs: 3},
	});
	t.like(tankwright, {...common, failureDomains: ['a', 'b', 'c', 'd'], delays: {betweenFailureDomainsMs: 0.5, toClientsMs: 1}});
	t.like(bakehouse.workers.capacity, {processorsMilli: 16_000, memoryMb: 60_000});
	t.like(tankwright.workers.capacity, {processorsMilli: 32_000, memoryMb: 125_000});
	t.true(Math.min(bakehouse.weights.batchThroughputMilli, bakehouse.weights.floodMilli) > bakehouse.weights.tailLatencyMilli);
	t.true(tankwright.weights.tailLatencyMilli > Math.max(tankwright.weights.batchThroughputMilli, tankwright.weights.floodMilli));
	t.true(Math.min(bakehouse.weights.evictionsMilli, tankwright.weights.evictionsMilli) > 0);
});

test('docs/settings.md matches the schemas; otherwise run npm run generate:settings-page', async t => {
	t.is(await readFile('docs/settings.md', 'utf8'), await renderSettingsPage());
});
