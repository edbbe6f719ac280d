export {runCli} from './cli';
