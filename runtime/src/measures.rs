//! The metrics of a process, as text for scrapers.

use std::sync::OnceLock;

use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Upper bounds of the buckets of every histogram in seconds.
///
/// From half a millisecond (an added hop) to ten seconds (a long draft).
const BUCKETS_SECONDS: [f64; 14] = [
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0,
];

/// Installs the recorder of the process, once.
pub fn install() {
    HANDLE.get_or_init(|| {
        let recorder = match PrometheusBuilder::new().set_buckets(&BUCKETS_SECONDS) {
            Ok(builder) => builder.build_recorder(),
            Err(_empty) => PrometheusBuilder::new().build_recorder(),
        };
        let handle = recorder.handle();
        if metrics::set_global_recorder(recorder).is_err() {
            log::warn!(event = "metrics-taken", remedy = "install no second recorder"; "");
        }
        handle
    });
}

/// Returns the metrics as text.
#[must_use]
pub fn render() -> String {
    HANDLE.get().map_or_else(String::new, |h| {
        h.run_upkeep();
        h.render()
    })
}
