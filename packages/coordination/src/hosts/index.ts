export { rankHosts, type HostsAnswer, type HostsQuestion } from './rankHosts.js'
