/** Types of metrics. */

/** Values of a metric's labels, by name. */
export type Labels = Readonly<Record<string, string>>;

/** Description of a metric. */
export interface MetricSpec {
  /** Name with its unit at the end, such as `anvilstack_first_token_ms`. */
  readonly name: string;
  readonly help: string;
  /** Most combinations of label values kept; the rest counts as `other`. */
  readonly maxSeries?: number;
}

/** A count that only grows. */
export interface Counter {
  add(count?: number, labels?: Labels): void;
}

/** A value that is read when the metrics are written out. */
export interface GaugeSpec extends MetricSpec {
  readonly kind?: 'gauge' | 'counter';
  readonly read: () =>
    number | ReadonlyArray<{readonly labels: Labels; readonly value: number}>;
}

/** A distribution of values. */
export interface Distribution {
  /** Records a value in the metric's unit; negative ones count as 0. */
  record(value: number, labels?: Labels): void;
}

/** The metrics of a process. */
export interface Metrics {
  addCounter(spec: MetricSpec): Counter;
  addGauge(spec: GaugeSpec): void;
  addDistribution(spec: MetricSpec): Distribution;
  /** Writes all metrics in the text form that Prometheus reads. */
  render(): string;
}
