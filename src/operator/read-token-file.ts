import {readFile} from 'node:fs/promises';
import {err, ok, type Result} from 'true-myth/result';
import {messageOf} from '../errors/message-of.js';
import {type TypedError} from '../errors/typed-error.js';

/**
Reads the operators' token from a file; surrounding white space is not part of it. The token itself never appears in an error.

@example
const token = await readTokenFile('operator.token');
*/
export async function readTokenFile(file: string): Promise<Result<string, TypedError<'token-unreadable'>>> {
	let token: string;
	try {
		const content = await readFile(file, 'utf8');
		token = content.trim();
	} catch (error) {
		return err({kind: 'token-unreadable', message: `${file} cannot be read: ${messageOf(error)}`, remedy: 'name a readable file that holds the operators\' token'});
	}

	return /^[\u0021-\u007E]{16,512}$/v.test(token)
		? ok(token)
		: err({kind: 'token-unreadable', message: `${file} holds no valid token`, remedy: 'write 16 to 512 printable characters without spaces into it'});
}
