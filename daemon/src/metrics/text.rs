//! The figures in the text format that Prometheus reads.

use prometheus::{
    Encoder, TextEncoder,
    proto::{
        Bucket,
        Counter,
        Gauge,
        Histogram,
        Metric,
        MetricFamily,
        MetricType, //
    },
};

use super::{
    BUCKETS_MS,
    MetricsReport,
    TimerReport, //
};

/// What every name begins with.
const PREFIX: &str = "cicadabend_";
/// Milliseconds in a second; times are told in seconds.
const MS_PER_S: f64 = 1_000.0;

/// Returns all figures as text, with the format's content type.
pub(super) fn encode(report: &MetricsReport) -> (Vec<u8>, String) {
    let encoder = TextEncoder::new();
    let mut text = Vec::new();
    // Writing into memory fails only for a family without metrics, and there is none.
    let _ = encoder.encode(&families(report), &mut text);
    (text, encoder.format_type().to_owned())
}

fn families(report: &MetricsReport) -> Vec<MetricFamily> {
    let counters = report.counters.iter().map(|(name, value)| {
        let mut counter = Counter::default();
        counter.set_value(*value as f64);
        let mut metric = Metric::default();
        metric.set_counter(counter);
        family(&format!("{name}_total"), MetricType::COUNTER, metric)
    });
    let gauges = report.gauges.iter().map(|(name, value)| {
        let mut gauge = Gauge::default();
        gauge.set_value(*value as f64);
        let mut metric = Metric::default();
        metric.set_gauge(gauge);
        family(name, MetricType::GAUGE, metric)
    });
    let timers = report.timers.iter().map(|(name, timer)| {
        let mut metric = Metric::default();
        metric.set_histogram(histogram(timer));
        family(&format!("{name}_seconds"), MetricType::HISTOGRAM, metric)
    });
    counters.chain(gauges).chain(timers).collect()
}

fn family(name: &str, kind: MetricType, metric: Metric) -> MetricFamily {
    let mut family = MetricFamily::default();
    family.set_name(format!("{PREFIX}{}", name.replace('.', "_")));
    family.set_help(String::new());
    family.set_field_type(kind);
    family.set_metric(vec![metric]);
    family
}

fn histogram(timer: &TimerReport) -> Histogram {
    let buckets = BUCKETS_MS
        .iter()
        .zip(timer.buckets)
        .map(|(limit_ms, count)| {
            let mut bucket = Bucket::default();
            bucket.set_upper_bound(limit_ms / MS_PER_S);
            bucket.set_cumulative_count(count);
            bucket
        });
    let mut histogram = Histogram::default();
    histogram.set_sample_count(timer.count);
    histogram.set_sample_sum(timer.sum_ms / MS_PER_S);
    histogram.set_bucket(buckets.collect());
    histogram
}
