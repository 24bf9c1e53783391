import {type Intent} from './intent.js';

/** The intent type of each kind. */
export type IntentByKind = {readonly [Kind in Intent['kind']]: Extract<Intent, {kind: Kind}>};
