//! The metrics of a process in the Prometheus text format.

use std::sync::OnceLock;

use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// The upper bounds of histogram buckets.
///
/// They range from 0.5 ms (an added hop) to 10 s (a long generation).
const BUCKETS_SECONDS: [f64; 14] = [
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0,
];

/// Installs the metrics recorder; later calls have no effect.
pub fn install() {
    HANDLE.get_or_init(|| {
        let recorder = match PrometheusBuilder::new().set_buckets(&BUCKETS_SECONDS) {
            Ok(builder) => builder.build_recorder(),
            Err(_empty) => PrometheusBuilder::new().build_recorder(),
        };
        let handle = recorder.handle();
        if metrics::set_global_recorder(recorder).is_err() {
            log::warn!(event = "metrics-taken", remedy = "install only one metrics recorder"; "");
        }
        handle
    });
}

/// Renders the metrics.
#[must_use]
pub fn render() -> String {
    HANDLE.get().map_or_else(String::new, |h| {
        h.run_upkeep();
        h.render()
    })
}
