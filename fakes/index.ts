export {type NetworkFaults} from './network.js';
export {type WriteAnswer} from './platform.js';
export {Random} from './random.js';
export {
	type CallerAnswer, type CallerRequest, type Decider, FakeSite, type HostOptions, type SiteOptions, type SiteObserver,
} from './site.js';
export {
	type ChildCall, type FakeAnswer, type FakeRequest, FakeTarget, type FakeTargetOptions,
} from './target.js';
export {runInWorkers} from './workers.js';
