import {request} from 'undici';
import {type z} from 'zod';

/** A request to a JSON interface of a stand-in or an entry. */
export type JsonCall = Readonly<{
	method?: 'GET' | 'PUT' | 'POST' | 'DELETE';
	url: string;
	body?: unknown;
	headers?: Readonly<Record<string, string>>;
	timeoutMs?: number;
}>;

/** Sends a request and returns the status with the unvalidated body, parsed where it is JSON; throws when there is no answer. */
export async function sendJson(call: JsonCall): Promise<Readonly<{status: number; body: unknown}>> {
	const answer = await request(call.url, {
		method: call.method ?? 'GET',
		headers: {...call.headers, ...(call.body === undefined ? {} : {'content-type': 'application/json'})},
		body: call.body === undefined ? null : JSON.stringify(call.body),
		signal: AbortSignal.timeout(call.timeoutMs ?? 10_000),
	});
	const text = await answer.body.text();
	let body: unknown;
	try {
		body = text === '' ? undefined : JSON.parse(text);
	} catch {
		body = text;
	}

	return {status: answer.statusCode, body};
}

/** Sends a request and returns the validated body of a 2xx answer; throws on any other answer or an invalid body. */
export async function fetchJson<Value>(schema: z.ZodType<Value>, call: JsonCall): Promise<Value> {
	const {status, body} = await sendJson(call);
	if (status < 200 || status > 299) {
		throw new Error(`${call.method ?? 'GET'} ${call.url} was answered ${status}: ${JSON.stringify(body)}`);
	}

	return schema.parse(body);
}
