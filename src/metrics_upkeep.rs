//! Sums up the values of histograms while nobody reads the metrics.

use metrics_exporter_prometheus::PrometheusHandle;

use crate::prelude::*;

/// How often the values are summed up; the recorder keeps each one until then.
const UPKEEP_PERIOD: Duration = Duration::from_secs(1);

/// Sums up the values at intervals.
pub(crate) async fn run(handle: PrometheusHandle) {
    loop {
        tokio::time::sleep(UPKEEP_PERIOD).await;
        handle.run_upkeep();
    }
}
