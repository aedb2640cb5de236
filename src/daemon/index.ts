export {Daemon} from './daemon.js';
