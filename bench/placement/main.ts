import {cac} from 'cac';
import {PLACEMENT_POLICIES, type PlacementScenario, PlacementSimulation} from '../../fakes/placementsimulation.js';

const DURATION_MS = 25_000;
const fleet = {
	targets: 42, daemons: 86, domainCount: 4, slots: 12, workMs: 240, objectiveMs: 2000, deadlineMs: 5000, demand: 0.75, speeds: [0.5, 1, 1, 1.5],
};
/** The load patterns that are measured. */
const SCENARIOS: readonly PlacementScenario[] = [
	{...fleet, name: 'uneven'},
	{
		...fleet, name: 'noise', noiseShare: 0.17, noiseFactor: 2.5,
	},
	{
		...fleet, name: 'waves', waveSwing: 0.55, wavePeriodMs: 13_000,
	},
	{
		...fleet, name: 'noisy-waves', noiseShare: 0.17, noiseFactor: 2.5, waveSwing: 0.55, wavePeriodMs: 13_000,
	},
	{
		...fleet, name: 'cold-third', coldShare: 0.33, demand: 0.6,
	},
	{
		...fleet, name: 'joining-third', coldShare: 0.33, coldOnesJoin: true, demand: 0.6,
	},
	{
		...fleet, name: 'shedding', sheddingTargets: 6, shedShare: 0.6,
	},
	{
		...fleet, name: 'full', fullFactor: 1.5, demand: 0.7,
	},
	{
		...fleet, name: 'full-knee', fullFactor: 1.5, demand: 0.7, findsKnee: true,
	},
	{
		...fleet, name: 'kinds', kinds: [0.1, 0.2, 0.5, 1, 2, 3], demand: 0.7,
	},
	{...fleet, name: 'uneven-domains', domainSpeeds: [0.6, 1, 1, 1.4]},
	{
		...fleet, name: 'three-hundred', targets: 300, daemons: 300, domainCount: 5, slots: 4,
	},
];

const cli = cac('bench:placement');
cli.option('--scenario <name>', 'Run only this scenario');
cli.option('--policy <name>', `Run only this policy: ${PLACEMENT_POLICIES.join(', ')}`);
cli.option('--seed <n>', 'Seed of all random choices', {default: 1});
cli.help();
const {options} = cli.parse();
if (options.help !== true) {
	console.log('| scenario | policy | in time | p50 ms | p99 ms | wasted | left the domain | shed |\n| --- | --- | --- | --- | --- | --- | --- | --- |');
	for (const scenario of SCENARIOS.filter(({name}) => (options.scenario ?? name) === name)) {
		for (const policy of PLACEMENT_POLICIES.filter(name => (options.policy ?? name) === name)) {
			const result = new PlacementSimulation(scenario, policy, Number(options.seed)).run(DURATION_MS);
			const [inTime, wasted, crossings, sheds] = [result.inTimeShare, result.wastedShare, result.crossingShare, result.shedShare].map(share => `${(share * 100).toFixed(1)}%`);
			console.log(`| ${[scenario.name, policy, inTime, Math.round(result.p50Ms), Math.round(result.p99Ms), wasted, crossings, sheds].join(' | ')} |`);
		}
	}
}
