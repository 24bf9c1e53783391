import {type ClusterRecordOf} from '../cluster/cluster-record.js';
import {type RequestEffect} from '../requests/request-effect.js';
import {type RequestForwarder} from './request-forwarder.js';

export type RequestEffectTargets = Readonly<{
	forwarder: RequestForwarder;
	appendRecord: (record: ClusterRecordOf<'key-claimed' | 'key-released'>) => void;
	/** Starts one read of the log's tail; its result must be dispatched as `tail-confirmed` or `tail-unavailable`. */
	confirmLogTail: () => void;
}>;

type EffectTable = {[Kind in RequestEffect['kind']]: (effect: Extract<RequestEffect, {kind: Kind}>) => void};

/**
Creates the function that executes the effects of the request reducer.

@example
const execute = createRequestEffectExecutor({forwarder, appendRecord, confirmLogTail});
for (const effect of effects) {
	execute(effect);
}
*/
export function createRequestEffectExecutor(targets: RequestEffectTargets): (effect: RequestEffect) => void {
	const {forwarder, appendRecord, confirmLogTail} = targets;
	const table: EffectTable = {
		'forward-request': forwarder.forward,
		'append-record'({record}) {
			appendRecord(record);
		},
		'confirm-log-tail': confirmLogTail,
		'answer-request': forwarder.answer,
		'cancel-forward': forwarder.cancel,
	};
	return <Kind extends RequestEffect['kind']>(effect: Extract<RequestEffect, {kind: Kind}>) => {
		table[effect.kind](effect);
	};
}
