import test from 'ava';
import fc from 'fast-check';
import {createIntakeAccount, type IntakeAccount} from './intake-account.js';

const limit = 1000;
const reserved = 250;
const smallAmount = 20;

const action = fc.record({
	kind: fc.constantFrom('claim' as const, 'complete' as const, 'begin' as const, 'release' as const),
	member: fc.nat(60),
	amount: fc.oneof(fc.integer({min: 1, max: smallAmount}), fc.integer({min: 1, max: 1200})),
});

type Action = Readonly<{kind: 'claim' | 'complete' | 'begin' | 'release'; member: number; amount: number}>;

const handlers: Readonly<Record<Action['kind'], (account: IntakeAccount<number>, action: Action) => void>> = {
	claim(account, {member, amount}) {
		account.claim(member, amount);
	},
	complete(account, {member}) {
		account.complete(member);
	},
	begin(account, {member}) {
		account.begin(member);
	},
	release(account, {member}) {
		account.release(member);
	},
};

test('the account never exceeds its limit, and its sum is that of the members that count', t => {
	t.notThrows(() => {
		fc.assert(fc.property(fc.array(action, {maxLength: 300}), actions => {
			const account = createIntakeAccount<number>({limit, reserved, smallAmount});
			for (const next of actions) {
				handlers[next.kind](account, next);
				if (account.used() > limit || account.used() < 0) {
					return false;
				}
			}

			for (let member = 0; member <= 60; member++) {
				account.release(member);
			}

			return account.used() === 0;
		}));
	});
});

// Complete small members are released at once by the servers, so that the crowd here completes large ones only.
test('a small new member is admitted under any crowd of incomplete members and of complete large ones', t => {
	t.notThrows(() => {
		fc.assert(fc.property(fc.array(action, {maxLength: 300}), fc.array(fc.nat(60), {maxLength: 30}), (actions, completed) => {
			const account = createIntakeAccount<number>({limit, reserved, smallAmount});
			for (const next of actions.filter(({kind}) => kind !== 'complete')) {
				handlers[next.kind](account, next);
			}

			for (const member of completed) {
				if (account.claim(member, smallAmount + 1).isAdmitted) {
					account.complete(member);
				}
			}

			return account.claim(100, smallAmount).isAdmitted;
		}));
	});
});

test('what has been incomplete for the longest time is shed, and neither the newest nor a complete member', t => {
	const account = createIntakeAccount<string>({limit: 3});
	account.claim('handled', 1);
	account.complete('handled');
	account.claim('slow', 1);
	account.claim('slower', 1);
	account.complete('slow');
	account.begin('slow');
	t.deepEqual(account.claim('new', 1), {isAdmitted: true, shed: ['slower']});
	t.deepEqual(account.claim('newer', 1), {isAdmitted: true, shed: ['slow']});
});

test('a member that grows is refused itself when it has been incomplete for the longest time', t => {
	const account = createIntakeAccount<string>({limit: 10});
	account.claim('old', 5);
	account.claim('new', 5);
	t.deepEqual(account.claim('old', 6), {isAdmitted: false, shed: []});
	t.is(account.used(), 5);
});

test('a new member is refused when only complete members are left', t => {
	const account = createIntakeAccount<string>({limit: 1});
	account.claim('handled', 1);
	account.complete('handled');
	t.deepEqual(account.claim('new', 1), {isAdmitted: false, shed: []});
	account.release('handled');
	t.true(account.claim('new', 1).isAdmitted);
});
