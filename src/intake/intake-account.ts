/** Outcome of a claim. Those in `shed` no longer count and are to be refused and closed. */
export type Claim<Member> = Readonly<{isAdmitted: boolean; shed: readonly Member[]}>;

/** Decides which members of a bounded amount are admitted. It holds no sockets and reads no clock. */
export type IntakeAccount<Member> = Readonly<{
	/**
	Counts a new member, or another amount of one that is counted. A member that is not admitted no longer counts; it is not listed in `shed`.
	*/
	claim: (member: Member, amount: number) => Claim<Member>;
	/** Marks a member as complete: it counts until its release, and is never shed. */
	complete: (member: Member) => void;
	/** Marks a member as incomplete from now on. */
	begin: (member: Member) => void;
	release: (member: Member) => void;
	/** Returns the sum of all amounts. */
	used: () => number;
}>;

/** The order of the keys is the order of age. */
type Amounts<Member> = Map<Member, number>;

/**
Creates an account for a crowd of clients that leave requests incomplete. A claim beyond the limit sheds what has been incomplete for the
longest time, not the newest: ordinary requests arrive whole within milliseconds, so that the crowd makes room for them. Amounts above
`smallAmount` never use the `reserved` part of the limit, so that a small new member is admitted whatever larger ones hold.

@example
const account = createIntakeAccount<string>({limit: 2});
account.claim('a', 1);
account.claim('b', 1);
account.claim('c', 1); // => {isAdmitted: true, shed: ['a']}
*/
export function createIntakeAccount<Member>({limit, reserved = 0, smallAmount = 0}: Readonly<{
	limit: number;
	/** Part of the limit that is kept for small amounts. */
	reserved?: number;
	smallAmount?: number;
}>): IntakeAccount<Member> {
	const incomplete: Amounts<Member> = new Map();
	const complete: Amounts<Member> = new Map();
	let used = 0;
	let usedByLarge = 0;

	function add(amount: number, sign: 1 | -1): void {
		used += sign * amount;
		usedByLarge += amount > smallAmount ? sign * amount : 0;
	}

	function release(member: Member): void {
		for (const amounts of [incomplete, complete]) {
			add(amounts.get(member) ?? 0, -1);
			amounts.delete(member);
		}
	}

	function move(member: Member, from: Amounts<Member>, to: Amounts<Member>): void {
		const amount = from.get(member);
		if (amount !== undefined) {
			from.delete(member);
			to.set(member, amount);
		}
	}

	function oldest(isShed: (amount: number) => boolean): Member | undefined {
		for (const [member, amount] of incomplete) {
			if (isShed(amount)) {
				return member;
			}
		}

		return undefined;
	}

	const isOver = (): boolean => used > limit || usedByLarge > limit - reserved;

	/** Returns the member to shed next, or undefined when none can make room. */
	function nextToShed(): Member | undefined {
		return usedByLarge > limit - reserved ? oldest(amount => amount > smallAmount) : oldest(() => true);
	}

	return {
		claim(member, amount) {
			const amounts = complete.has(member) ? complete : incomplete;
			add(amounts.get(member) ?? 0, -1);
			// Setting the amount of a counted member keeps its place in the order.
			amounts.set(member, amount);
			add(amount, 1);
			const shed: Member[] = [];
			while (isOver()) {
				const victim = nextToShed();
				if (victim === undefined || victim === member) {
					release(member);
					return {isAdmitted: false, shed};
				}

				release(victim);
				shed.push(victim);
			}

			return {isAdmitted: true, shed};
		},
		complete(member) {
			move(member, incomplete, complete);
		},
		begin(member) {
			move(member, complete, incomplete);
		},
		release,
		used: () => used,
	};
}
