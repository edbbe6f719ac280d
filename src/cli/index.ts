export {createCli, runCli} from './cli';
