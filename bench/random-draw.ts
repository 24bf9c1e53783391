import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type RandomGenerator} from 'pure-rand/types/RandomGenerator';

/** Seeds of neighbouring streams are far apart, so that their first draws differ. */
const streamStride = 0x9E_37_79_B1;
const streamsPerSeed = 64;

/** The first draws of close seeds resemble each other. */
const skippedDraws = 4;

/** One stream of random numbers; streams of one seed do not depend on how much others draw. */
export class RandomDraw {
	private readonly generator: RandomGenerator;

	public constructor(seed: number, stream: number) {
		this.generator = xoroshiro128plus(Math.imul((seed * streamsPerSeed) + stream + 1, streamStride));
		for (let skipped = 0; skipped < skippedDraws; skipped++) {
			uniformFloat64(this.generator);
		}
	}

	/**
	Draws evenly between two bounds.

	@example
	new RandomDraw(7, 0).between(0.8, 3.3); // => 1.94
	*/
	public between(least: number, most: number): number {
		return least + ((most - least) * uniformFloat64(this.generator));
	}

	/**
	Draws an index below a count.

	@example
	new RandomDraw(7, 0).index(9); // => 4
	*/
	public index(count: number): number {
		return Math.min(count - 1, Math.floor(this.between(0, count)));
	}

	/**
	Draws whether something of a given probability happens.

	@example
	new RandomDraw(7, 0).happens(0.125); // => false
	*/
	public happens(probability: number): boolean {
		return this.between(0, 1) < probability;
	}

	/**
	Draws the time to the next of events that come independently of each other.

	@example
	new RandomDraw(7, 0).waitMs(30_000); // => 21_480.2
	*/
	public waitMs(meanMs: number): number {
		return -meanMs * Math.log(1 - this.between(0, 1));
	}
}
