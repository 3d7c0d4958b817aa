export { EtcdKeyValueService } from './etcdKeyValueService.js'
export { HttpModelEngine } from './httpModelEngine.js'
export { HttpPlainService } from './httpPlainService.js'
export { HttpCacheStore, HttpHostList, HttpWeightStore } from './httpStores.js'
