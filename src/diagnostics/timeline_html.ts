/** Renders a time line as a self-contained HTML page with a lane for each process and engine. */
import timelineScript from 'vis-timeline/standalone/umd/vis-timeline-graph2d.min.js?text';
import timelineStyle from 'vis-timeline/styles/vis-timeline-graph2d.min.css?text';
import type {TimelineEvent} from './events';
import type {Timeline} from './timeline';

const FAILURE_KIND_PATTERN = /refused|failed|lost|error|out$|cancelled/;

/** Returns the HTML of the page. */
export function renderTimelineHtml(timeline: Timeline, title: string): string {
  const lanes = listLanes(timeline.events);
  const items = timeline.events.flatMap((event, index) =>
    createItems(event, index),
  );
  const gaps = timeline.gaps
    .map(gap => `<li>${formatHtml(`${gap.node}: ${gap.reason}`)}</li>`)
    .join('');
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>${formatHtml(title)}</title>
<style>${timelineStyle}</style>
<style>
body { font: 14px sans-serif; margin: 1em; }
.vis-item { background: #d8e6f7; border-color: #4a78b0; font-size: 12px; }
.vis-item.bad { background: #f7d8d8; border-color: #b04a4a; }
</style>
</head>
<body>
<h1>${formatHtml(title)}</h1>
<p>${timeline.events.length} events. Scroll to move, Ctrl and wheel to zoom; point at an event for its cause.</p>
${gaps === '' ? '' : `<p>Missing:</p><ul>${gaps}</ul>`}
<div id="timeline"></div>
<script>${formatScript(timelineScript)}</script>
<script>
const lanes = ${formatScriptData(lanes)};
const items = ${formatScriptData(items)};
new vis.Timeline(
  document.getElementById('timeline'),
  new vis.DataSet(items),
  new vis.DataSet(lanes),
  {stack: true, zoomKey: 'ctrlKey', maxHeight: '80vh', verticalScroll: true, order: (a, b) => a.order - b.order},
);
</script>
</body>
</html>
`;
}

interface Lane {
  readonly id: string;
  readonly content: string;
}

interface LaneItem {
  readonly id: string;
  readonly group: string;
  readonly content: string;
  readonly title: string;
  readonly start: number;
  readonly order: number;
  readonly className: string;
}

/** Returns the lanes: processes first, then the engines that events refer to. */
function listLanes(events: readonly TimelineEvent[]): Lane[] {
  const nodes = new Set(events.map(event => event.node));
  const engines = new Set(
    events.flatMap(event => (event.engine === undefined ? [] : [event.engine])),
  );
  return [
    ...[...nodes].sort().map(name => createLane('process', name)),
    ...[...engines].sort().map(name => createLane('engine', name)),
  ];
}

function createLane(kind: string, name: string): Lane {
  return {id: `${kind}:${name}`, content: formatHtml(`${kind} ${name}`)};
}

/** Creates one item in the lane of the emitting process, and one in the lane of the engine if the event refers to one. */
function createItems(event: TimelineEvent, index: number): LaneItem[] {
  const lanes = [`process:${event.node}`];
  if (event.engine !== undefined) lanes.push(`engine:${event.engine}`);
  const subject = event.requestId ?? event.clientAccount ?? event.shard ?? '';
  return lanes.map((group, laneIndex) => ({
    id: `${index}.${laneIndex}`,
    group,
    content: formatHtml(event.kind),
    title: formatHtml(`${event.node} ${event.kind} ${subject}: ${event.cause}`),
    start: event.at.wallMs,
    order: index,
    className: FAILURE_KIND_PATTERN.test(event.kind) ? 'bad' : 'good',
  }));
}

const HTML_ENTITIES: Readonly<Record<string, string>> = {
  '&': '&amp;',
  '<': '&lt;',
  '>': '&gt;',
  '"': '&quot;',
};

function formatHtml(text: string): string {
  return text.replace(/[&<>"]/g, character => HTML_ENTITIES[character]);
}

/** Serializes data as JSON with `<` escaped, so that it cannot close the script element. */
function formatScriptData(value: unknown): string {
  return JSON.stringify(value).replaceAll('<', '\\u003c');
}

function formatScript(script: string): string {
  return script.replaceAll('</script', '<\\/script');
}
