export {
	type Destination, type Repeatability, type Route, RouteTable,
} from './route.js';
export {
	type ClientLimits, type ServiceSpec, type SiteSpec, Site,
} from './site.js';
export {TrafficSplitter} from './trafficsplitter.js';
