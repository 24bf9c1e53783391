import {type RequestEffect} from '../requests/request-effect.js';
import {type ControlEffect} from './control-effect.js';

/** All effects that an entry's reducer returns for its process to execute. */
export type EntryEffect = ControlEffect | RequestEffect;
