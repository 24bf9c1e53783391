import * as z from 'zod/mini';
import {isAddress, parseAddress} from './address.js';

const error = 'use an IP number and a port, such as 127.0.0.1:8080';

/** An address that a client can connect to. zod/mini, so that an agent does not load the whole of zod; it can be a part of schemas of both. */
export const addressSchema = z.string().check(z.refine(isAddress, error));

/** An address to listen at; with port 0, the system chooses a free port. */
export const listenAddressSchema = z.string().check(z.refine(text => parseAddress(text, {minPort: 0}) !== undefined, error));
