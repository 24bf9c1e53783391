import test from 'ava';
import {isAddress, parseAddress} from './address.js';

test('a port out of range does not become the address of a client', t => {
	for (const address of ['10.1.0.13:99999', '10.1.0.13:65536', '10.1.0.13:0', '10.1.0.13:-1', '10.1.0.13:', '10.1.0.13', '999.1.1.1:80', '10.1.0:80', '10.1.0.13:80/path', ' 10.1.0.13:80', '']) {
		t.is(parseAddress(address), undefined, `${address} is accepted`);
		t.false(isAddress(address), `${address} is accepted`);
	}

	t.deepEqual(parseAddress('10.1.0.13:65535'), {host: '10.1.0.13', port: 65_535});
	t.true(isAddress('127.0.0.1:1'));
});

test('a server still listens on a free port', t => {
	t.deepEqual(parseAddress('127.0.0.1:0', {minPort: 0}), {host: '127.0.0.1', port: 0});
});
