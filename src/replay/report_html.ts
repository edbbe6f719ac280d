/** Renders replays of a trace as one self-contained HTML page: outcomes, uPlot plots over time and role changes. */
import uplotStyle from 'uplot/dist/uPlot.min.css?text';
import uplotScript from 'uplot/dist/uPlot.iife.min.js?text';
import {
  type Comparison,
  COMPARISON_HEADINGS,
  listComparisonRows,
} from './comparison';
import {ReplayPolicy, type ReplayResult, type SeriesPoint} from './types';

/** Roles and states of an engine, in the order of the legend. */
const ROLE_NAMES = [
  'prefill',
  'mixed',
  'decode',
  'draining',
  'changing_role',
  'leaving',
  'down',
] as const;
const ROLE_COLOURS = [
  '#c2410c',
  '#15803d',
  '#1d4ed8',
  '#a3a3a3',
  '#facc15',
  '#7e22ce',
  '#111827',
] as const;

/** Renders the page of a comparison; the plots show policy `anvilstack`, two of them with `static-roles` beside it. */
export function renderReplayHtml(
  title: string,
  comparison: Comparison,
): string {
  const result = comparison.results.get(ReplayPolicy.Anvilstack);
  const plots = result === undefined ? [] : listPlots(result, comparison);
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>${encodeHtml(title)}</title>
<style>${uplotStyle}
body{font:14px/1.5 system-ui,sans-serif;margin:24px auto;max-width:1040px;padding:0 16px;color:#1f2937}
h1{font-size:20px}h2{font-size:16px;margin:28px 0 6px}
table{border-collapse:collapse;font-size:12px}
td,th{padding:3px 10px 3px 0;text-align:left;border-bottom:1px solid #e5e7eb;font-variant-numeric:tabular-nums}
td:last-child{overflow-wrap:anywhere}
.roles{display:grid;gap:2px;margin:6px 0}
.roles div{display:flex;align-items:center;font-size:11px}
.roles span{width:72px;flex:none}
.roles svg{flex:1;width:0;min-width:0;height:14px}
.key i{display:inline-block;width:10px;height:10px;margin:0 4px 0 12px}
</style>
</head>
<body>
<h1>${encodeHtml(title)}</h1>
<p>Replayed on virtual time. Traces that were generated say so in their first line.</p>
${renderTable(COMPARISON_HEADINGS, listComparisonRows(comparison))}
${plots.map((plot, index) => `<h2>${encodeHtml(plot.title)}</h2><div id="plot${index}"></div>`).join('\n')}
<h2>Roles by engine</h2>
${result === undefined ? '' : renderRoles(result.series)}
<h2>Role changes, made and declined</h2>
${result === undefined ? '' : renderPlans(result)}
<script>${uplotScript}</script>
<script>
const plots = ${JSON.stringify(plots).replaceAll('<', '\\u003c')};
plots.forEach((plot, index) => {
  const series = [{label: 's'}].concat(plot.series.map(item => ({
    label: item.label, stroke: item.stroke, width: 1.5, spanGaps: true,
  })));
  new uPlot({
    width: 1000, height: 220, series,
    scales: {x: {time: false}},
    axes: [{label: 'seconds'}, {label: plot.unit, size: 76, gap: 8}],
  }, plot.data, document.getElementById('plot' + index));
});
</script>
</body>
</html>
`;
}

interface Plot {
  readonly title: string;
  readonly unit: string;
  readonly series: ReadonlyArray<{
    readonly label: string;
    readonly stroke: string;
  }>;
  readonly data: ReadonlyArray<ReadonlyArray<number | null>>;
}

function listPlots(result: ReplayResult, comparison: Comparison): Plot[] {
  const {series} = result;
  const seconds = series.map(point => point.atMs / 1_000);
  const staticSeries =
    comparison.results.get(ReplayPolicy.StaticRoles)?.series ?? [];
  return [
    {
      title: 'Goodput',
      unit: 'part in deadline',
      series: [
        {label: 'anvilstack', stroke: '#15803d'},
        {label: 'static-roles', stroke: '#9ca3af'},
      ],
      data: [seconds, series.map(getGoodput), staticSeries.map(getGoodput)],
    },
    {
      title: 'Requests at the engines',
      unit: 'requests',
      series: [
        {label: 'waiting', stroke: '#c2410c'},
        {label: 'running', stroke: '#1d4ed8'},
      ],
      data: [
        seconds,
        series.map(point => point.waiting),
        series.map(point => point.running),
      ],
    },
    {
      title: 'First token, 95th percentile',
      unit: 'ms',
      series: [
        {label: 'anvilstack', stroke: '#7e22ce'},
        {label: 'static-roles', stroke: '#9ca3af'},
      ],
      data: [
        seconds,
        series.map(point => point.p95FirstTokenMs),
        staticSeries.map(point => point.p95FirstTokenMs),
      ],
    },
    {
      title: 'What arrived',
      unit: 'tokens',
      series: [
        {label: 'prompt', stroke: '#c2410c'},
        {label: 'output', stroke: '#1d4ed8'},
      ],
      data: [
        seconds,
        series.map(point => point.promptTokens),
        series.map(point => point.outputTokens),
      ],
    },
  ];
}

function getGoodput(point: SeriesPoint): number | null {
  return point.arrived === 0 ? null : point.inDeadline / point.arrived;
}

/** A coloured band for each engine, one cell for each point of the series. */
function renderRoles(series: readonly SeriesPoint[]): string {
  const count = series[0]?.roles.length ?? 0;
  const legend = ROLE_NAMES.map(
    (name, index) => `<i style="background:${ROLE_COLOURS[index]}"></i>${name}`,
  ).join('');
  const bands = Array.from({length: count}, (_, engine) => {
    const cells = series.map((point, index) => {
      const role = ROLE_NAMES.findIndex(name => name === point.roles[engine]);
      const colour = ROLE_COLOURS[role] ?? '#ffffff';
      return `<rect x="${index}" width="1.05" height="1" fill="${colour}"/>`;
    });
    return `<div><span>engine ${engine + 1}</span><svg viewBox="0 0 ${series.length} 1" preserveAspectRatio="none">${cells.join('')}</svg></div>`;
  });
  return `<p class="key">${legend}</p><div class="roles">${bands.join('\n')}</div>`;
}

function renderPlans(result: ReplayResult): string {
  const rows = result.plans.map(plan => [
    (plan.atMs / 1_000).toFixed(1),
    plan.node,
    plan.kind,
    plan.engine ?? '',
    plan.cause,
  ]);
  if (rows.length === 0) return '<p>None.</p>';
  return renderTable(['S', 'NODE', 'STEP', 'ENGINE', 'CAUSE'], rows);
}

function renderTable(
  headings: readonly string[],
  rows: ReadonlyArray<readonly string[]>,
): string {
  const head = headings.map(text => `<th>${encodeHtml(text)}</th>`).join('');
  const body = rows
    .map(
      row =>
        `<tr>${row.map(text => `<td>${encodeHtml(text)}</td>`).join('')}</tr>`,
    )
    .join('\n');
  return `<table><tr>${head}</tr>${body}</table>`;
}

function encodeHtml(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;')
    .replaceAll('"', '&quot;');
}
