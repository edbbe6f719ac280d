/** Types of the metrics registry and its instruments. */

/** Values of a metric's labels, by name. */
export type Labels = Readonly<Record<string, string>>;

/** Description of a metric. */
export interface MetricSpec {
  /** Name with its unit at the end, such as `anvilstack_first_token_ms`. */
  readonly name: string;
  readonly help: string;
  /** Maximum number of label combinations. Counters and distributions count further ones under `other`; gauges omit them. */
  readonly maxSeries?: number;
}

/** A monotonic counter. */
export interface Counter {
  add(count?: number, labels?: Labels): void;
}

/** A value that is read each time the metrics are rendered. */
export interface GaugeSpec extends MetricSpec {
  readonly kind?: 'gauge' | 'counter';
  readonly read: () =>
    number | ReadonlyArray<{readonly labels: Labels; readonly value: number}>;
}

/** A distribution of values, rendered as a summary with quantiles. */
export interface Distribution {
  /** Records a value in the unit of the metric; negative values are recorded as 0. */
  record(value: number, labels?: Labels): void;
}

/** The metrics of a process. */
export interface Metrics {
  addCounter(spec: MetricSpec): Counter;
  addGauge(spec: GaugeSpec): void;
  addDistribution(spec: MetricSpec): Distribution;
  /** Renders all metrics in the Prometheus text format. */
  render(): string;
}
