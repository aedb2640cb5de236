import {type ProofPoint} from '../proofpoint.js';
import {rightAnswer} from './rightanswer.js';
import {config} from './config.js';
import {gracefulStop} from './gracefulstop.js';
import {honestNotRun} from './honestnotrun.js';
import {leaving} from './leaving.js';
import {atMostOnce} from './atmostonce.js';
import {atMostOncePrice} from './atmostonceprice.js';
import {retryBound} from './retrybound.js';
import {shedOrder} from './shedorder.js';

/** All points in the order of the requirements. `at-most-once-price` belongs to `at-most-once`, the fifth. */
export const PROOF_POINTS: readonly ProofPoint[] = [retryBound, shedOrder, rightAnswer, honestNotRun, atMostOnce, atMostOncePrice, leaving, gracefulStop, config];
