export { ServiceLinks, type LinkChange } from './serviceLinks.js'
