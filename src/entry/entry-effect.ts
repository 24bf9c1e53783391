import {type RequestEffect} from '../requests/request-effect.js';
import {type ControlEffect} from './control-effect.js';

/** Everything that an entry's reducer asks its shell to do. */
export type EntryEffect = ControlEffect | RequestEffect;
