import {writeFile} from 'node:fs/promises';
import {type Measures} from './measure.js';
import {POLICIES} from './run.js';

/** Size of one chart and the space around it, in SVG units. */
const WIDTH = 560;
const HEIGHT = 180;
const MARGIN = 40;
const COLORS = {
	none: '#999999', static: '#d08a2e', aimd: '#3a7bd5', comfreydyke: '#1d8f4e',
};

/** Writes an SVG with one chart for each deployment and scenario: complete requests a second over time. */
export async function writePlot(results: readonly Measures[], file: string): Promise<void> {
	const groups = new Map<string, Measures[]>();
	for (const measures of results) {
		const name = `${measures.deployment}: ${measures.scenario}`;
		groups.set(name, [...(groups.get(name) ?? []), measures]);
	}

	const columns = 2;
	const rows = Math.ceil(groups.size / columns);
	const panels = [...groups].map(([name, group], index) => renderPanel(name, group, {
		x: (index % columns) * (WIDTH + MARGIN), y: Math.floor(index / columns) * (HEIGHT + (2 * MARGIN)),
	}));
	const width = columns * (WIDTH + MARGIN);
	const height = (rows * (HEIGHT + (2 * MARGIN))) + MARGIN;
	const legend = POLICIES.map((policy, index) => `<text x="${MARGIN + (index * 130)}" y="${height - 12}" fill="${COLORS[policy]}">${policy}</text>`);
	await writeFile(file, `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif" font-size="12">\n<rect width="100%" height="100%" fill="white"/>\n${[...panels, ...legend].join('\n')}\n</svg>\n`);
}

function renderPanel(name: string, group: readonly Measures[], {x, y}: {x: number; y: number}): string {
	const maxRate = Math.max(1, ...group.flatMap(({series}) => series));
	const length = Math.max(...group.map(({series}) => series.length));
	const left = x + MARGIN;
	const base = y + MARGIN + HEIGHT;
	const lines = group.map(({policy, series}) => {
		const points = series.map((value, at) => `${(left + (at * WIDTH / length)).toFixed(1)},${(base - (value * HEIGHT / maxRate)).toFixed(1)}`);
		return `<polyline fill="none" stroke="${COLORS[policy]}" stroke-width="1.5" points="${points.join(' ')}"/>`;
	});
	return [
		`<text x="${left}" y="${y + MARGIN - 8}">${name} (requests/s, top ${maxRate}, ${length} s)</text>`,
		`<path d="M${left} ${base - HEIGHT}V${base}H${left + WIDTH}" fill="none" stroke="#444"/>`,
		...lines,
	].join('\n');
}
