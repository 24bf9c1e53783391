import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type RandomGenerator} from 'pure-rand/types/RandomGenerator';

/** Keeps the generator seeds of consecutive streams far apart, so that their first draws differ. */
const seedStride = 0x9E_37_79_B1;
const streamsPerSeed = 64;

/** Number of draws that are discarded at the start, since the first draws of close seeds resemble each other. */
const discardedDraws = 4;

/** One of several independent streams of random numbers of a seed: draws from one stream do not change the others. */
export class RandomDraw {
	private readonly generator: RandomGenerator;

	public constructor(seed: number, stream: number) {
		this.generator = xoroshiro128plus(Math.imul((seed * streamsPerSeed) + stream + 1, seedStride));
		for (let discarded = 0; discarded < discardedDraws; discarded++) {
			uniformFloat64(this.generator);
		}
	}

	/**
	Returns a uniformly distributed number between two bounds.

	@example
	new RandomDraw(7, 0).between(0.8, 3.3); // => 1.94
	*/
	public between(least: number, most: number): number {
		return least + ((most - least) * uniformFloat64(this.generator));
	}

	/**
	Returns a uniformly distributed index below a count.

	@example
	new RandomDraw(7, 0).index(9); // => 4
	*/
	public index(count: number): number {
		return Math.min(count - 1, Math.floor(this.between(0, count)));
	}

	/**
	Returns true with the given probability.

	@example
	new RandomDraw(7, 0).happens(0.125); // => false
	*/
	public happens(probability: number): boolean {
		return this.between(0, 1) < probability;
	}

	/**
	Returns an exponentially distributed time to the next event, in milliseconds.

	@example
	new RandomDraw(7, 0).waitMs(30_000); // => 21_480.2
	*/
	public waitMs(meanMs: number): number {
		return -meanMs * Math.log(1 - this.between(0, 1));
	}
}
