import * as z from 'zod/mini';
import {maxCount, maxResourceAmount, maxTimeMs} from './bounds.js';

/** An amount of one resource. zod/mini, so that an agent does not load the whole of zod; it can be a part of schemas of both. */
export const resourceAmountSchema = z.int().check(z.minimum(0), z.maximum(maxResourceAmount));

/** A time in Unix milliseconds, or on the clock of a process that does not decrease. */
export const timeMsSchema = z.int().check(z.minimum(0), z.maximum(maxTimeMs));

/** A number of things, such as an attempt. */
export const countSchema = z.int().check(z.minimum(1), z.maximum(maxCount));
