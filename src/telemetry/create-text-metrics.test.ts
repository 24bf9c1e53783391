import test from 'ava';
import {request} from 'undici';
import {createMetrics} from './create-metrics.js';

test('an operator without a StatsD receiver can read counters and latencies as text', async t => {
	const errors: Error[] = [];
	const address = '127.0.0.1:19464';
	const metrics = await createMetrics({
		textAddress: address, prefix: 'arbutushinge.', onError(error) {
			errors.push(error);
		},
	});
	t.teardown(metrics.close);
	metrics.increment('leases.granted', 2);
	metrics.timingMs('log.append', 30);
	metrics.gauge('vms', 3, {phase: 'live'});
	const answer = await request(`http://${address}/metrics`);
	const text = await answer.body.text();
	t.true(text.includes('arbutushinge_leases_granted 2'));
	t.true(text.includes('arbutushinge_log_append_bucket{le="50"} 1'));
	t.true(text.includes('arbutushinge_vms{phase="live"} 3'));
	t.deepEqual(errors, []);
});
