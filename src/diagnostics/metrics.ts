/** Counters, gauges and distributions with a bounded number of series, rendered in the Prometheus text format. */
import {build, type Histogram} from 'hdr-histogram-js';
import type {
  Counter,
  Distribution,
  GaugeSpec,
  Labels,
  Metrics,
  MetricSpec,
} from './metrics_types';

const DEFAULT_MAX_SERIES = 64;
/** Histograms hold integers, so values are recorded in thousandths of the unit of the metric. */
const HISTOGRAM_SCALE = 1_000;
/** One hour for a metric in milliseconds; larger values are recorded as this one. */
const MAX_HISTOGRAM_VALUE = 3_600_000 * HISTOGRAM_SCALE;
const SIGNIFICANT_DIGITS = 2;
const QUANTILES = [0.5, 0.9, 0.95, 0.99];
const OVERFLOW_LABEL_VALUE = 'other';

interface Series<Value> {
  readonly labels: Labels;
  value: Value;
}

interface Summary {
  readonly histogram: Histogram;
  sum: number;
}

/** Creates an empty set of metrics. */
export function createMetrics(): Metrics {
  const writers: Array<() => string[]> = [];
  const names = new Set<string>();
  return {addCounter, addGauge, addDistribution, render};

  function addCounter(spec: MetricSpec): Counter {
    const series = createSeriesSet(spec, () => 0);
    addWriter(spec, 'counter', () =>
      series.list().map(item => formatSample(spec.name, item)),
    );
    return {
      add: (count = 1, labels = {}) => {
        series.get(labels).value += count;
      },
    };
  }

  function addGauge(spec: GaugeSpec): void {
    addWriter(spec, spec.kind ?? 'gauge', () => {
      const read = spec.read();
      const items =
        typeof read === 'number' ? [{labels: {}, value: read}] : read;
      return items
        .slice(0, spec.maxSeries ?? DEFAULT_MAX_SERIES)
        .map(item => formatSample(spec.name, item));
    });
  }

  function addDistribution(spec: MetricSpec): Distribution {
    const series = createSeriesSet(spec, createSummary);
    addWriter(spec, 'summary', () =>
      series.list().flatMap(item => formatSummary(spec.name, item)),
    );
    return {
      record: (value, labels = {}) => {
        const {value: summary} = series.get(labels);
        const histogramValue = Math.round(Math.max(0, value) * HISTOGRAM_SCALE);
        summary.histogram.recordValue(
          Math.min(MAX_HISTOGRAM_VALUE, histogramValue),
        );
        summary.sum += Math.max(0, value);
      },
    };
  }

  function addWriter(
    spec: MetricSpec,
    type: string,
    listLines: () => string[],
  ): void {
    if (names.has(spec.name))
      throw new Error(`metric ${spec.name} is already registered`);
    names.add(spec.name);
    writers.push(() => [
      `# HELP ${spec.name} ${spec.help}`,
      `# TYPE ${spec.name} ${type}`,
      ...listLines(),
    ]);
  }

  function render(): string {
    return `${writers.flatMap(writer => writer()).join('\n')}\n`;
  }
}

interface SeriesSet<Value> {
  get(labels: Labels): Series<Value>;
  list(): ReadonlyArray<Series<Value>>;
}

/** Creates a set that keeps the first `maxSeries` combinations of label values and counts all further ones under `other`. */
function createSeriesSet<Value>(
  spec: MetricSpec,
  createValue: () => Value,
): SeriesSet<Value> {
  const maxSeries = spec.maxSeries ?? DEFAULT_MAX_SERIES;
  const known = new Map<string, Series<Value>>();
  return {
    get: labels => {
      const key = formatLabels(labels);
      const found = known.get(key);
      if (found !== undefined) return found;
      if (known.size < maxSeries) return addSeries(key, labels);
      const overflowLabels = createOverflowLabels(labels);
      const overflowKey = formatLabels(overflowLabels);
      return known.get(overflowKey) ?? addSeries(overflowKey, overflowLabels);
    },
    list: () => [...known.values()],
  };

  function addSeries(key: string, labels: Labels): Series<Value> {
    const series = {labels, value: createValue()};
    known.set(key, series);
    return series;
  }
}

function createOverflowLabels(labels: Labels): Labels {
  return Object.fromEntries(
    Object.keys(labels).map(name => [name, OVERFLOW_LABEL_VALUE]),
  );
}

function createSummary(): Summary {
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_HISTOGRAM_VALUE,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    bitBucketSize: 32,
    useWebAssembly: false,
  });
  return {histogram, sum: 0};
}

function formatSummary(name: string, item: Series<Summary>): string[] {
  const {histogram, sum} = item.value;
  const quantiles = QUANTILES.map(quantile =>
    formatSample(name, {
      labels: {...item.labels, quantile: String(quantile)},
      value: histogram.getValueAtPercentile(quantile * 100) / HISTOGRAM_SCALE,
    }),
  );
  return [
    ...quantiles,
    formatSample(`${name}_sum`, {labels: item.labels, value: sum}),
    formatSample(`${name}_count`, {
      labels: item.labels,
      value: histogram.totalCount,
    }),
  ];
}

function formatSample(
  name: string,
  item: {readonly labels: Labels; readonly value: number},
): string {
  return `${name}${formatLabels(item.labels)} ${item.value}`;
}

function formatLabels(labels: Labels): string {
  const parts = Object.entries(labels).map(
    ([name, value]) => `${name}="${formatLabelValue(value)}"`,
  );
  return parts.length === 0 ? '' : `{${parts.join(',')}}`;
}

function formatLabelValue(value: string): string {
  return value
    .replaceAll('\\', '\\\\')
    .replaceAll('"', '\\"')
    .replaceAll('\n', '\\n');
}
