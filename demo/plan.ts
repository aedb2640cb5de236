import {type Answers} from '../src/config/index.js';
import {type RequestType} from '../standins/caller.js';
import {type HostPlan} from './site.js';

/** Answers to the configuration questionnaire that describe the demo site. */
export const siteAnswers: Answers = {
	site: 'demo',
	callers: {resendForMs: 60_000, clockErrorMs: 500},
	services: [
		{
			name: 'desk', upstreams: 2, slots: 32, connections: 128, requests: [
				{
					name: 'status', kind: 'status-check', method: 'GET', path: '/status', waitMs: 2000, calls: ['records'],
				},
				{
					name: 'submit', kind: 'submission', method: 'POST', path: '/submit', waitMs: 4000, calls: ['records'],
				},
			],
		},
		{
			name: 'records', upstreams: 2, slots: 24, connections: 128, requests: [{
				name: 'read', kind: 'lookup', method: '*', path: '/', waitMs: 2000, calls: ['rules'],
			}],
		},
		{
			name: 'rules', upstreams: 2, slots: 5, connections: 64, requests: [{
				name: 'check', kind: 'lookup', method: 'GET', path: '/', waitMs: 1500, calls: [],
			}],
		},
	],
};

const SERVICES = [
	{
		service: 'desk', slots: 32, connections: 128, meanMs: 10, calls: ['GET /records/read'],
	},
	{
		service: 'records', slots: 24, connections: 128, meanMs: 10, calls: ['GET /rules/check'],
	},
	{
		service: 'rules', slots: 5, connections: 64, meanMs: 20, calls: [],
	},
];

/** Types of request that the demo's callers send. */
export const requestTypes: RequestType[] = [
	{
		className: 'status-check', method: 'GET', path: '/desk/status', share: 0.8, idempotent: true, waitMs: 2000,
	},
	{
		className: 'submission', method: 'POST', path: '/desk/submit', share: 0.2, idempotent: false, waitMs: 4000,
	},
];

/** Creates the plans of the hosts: each service runs on two hosts, in two failure domains. */
export function createHostPlans(): HostPlan[] {
	return SERVICES.flatMap(service => ['a', 'b'].map(domain => ({...service, id: `${service.service}-${domain}`, failureDomain: `demo-${domain}`})));
}
