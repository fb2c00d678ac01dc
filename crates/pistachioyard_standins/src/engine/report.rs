//! The report of an engine, whose load lags behind by a configured time.

use std::sync::Arc;
use std::time::Duration;

use pistachioyard_wire::EndpointReport;
use tokio::time::{Instant, interval};

use super::core::{Core, Engine, LoadSample};

/// The minimum period of load sampling, in milliseconds.
const MIN_SAMPLE_MS: u64 = 5;

/// How long a stream without a job and its KV cache are kept, in seconds.
const KV_RETENTION_SECS: u64 = 30;

/// How long a stage after the head waits for the next step of a job, in seconds.
const JOB_IDLE_LIMIT_SECS: u64 = 60;

/// Samples the load and drops expired streams and jobs, until the process ends.
pub(crate) async fn run_sampler(engine: Arc<Engine>) {
    let period = (engine.settings.load_lag_ms / 4).max(MIN_SAMPLE_MS);
    let mut ticks = interval(Duration::from_millis(period));
    loop {
        ticks.tick().await;
        let mut core = engine.lock();
        engine.sample(&mut core);
        engine.expire(&mut core);
    }
}

impl Engine {
    /// Adds a load sample and drops the samples that are no longer needed.
    fn sample(&self, core: &mut Core) {
        let sample = LoadSample {
            taken: Instant::now(),
            running: core.admitted,
            waiting: core.jobs - core.admitted,
            free_kv_tokens: self
                .settings
                .kv_tokens
                .saturating_sub(core.committed_kv_tokens()),
        };
        core.samples.push_back(sample);
        let lag = Duration::from_millis(self.settings.load_lag_ms);
        // Keeps the newest sample that is at least as old as the lag at the front.
        while core
            .samples
            .get(1)
            .is_some_and(|s| s.taken.elapsed() >= lag)
        {
            core.samples.pop_front();
        }
    }

    /// Drops streams without a job and closes idle jobs once their time limit has passed.
    fn expire(self: &Arc<Self>, core: &mut Core) {
        let retention = Duration::from_secs(KV_RETENTION_SECS);
        core.streams
            .retain(|_, s| s.job.is_some() || s.touched.elapsed() < retention);
        let limit = Duration::from_secs(JOB_IDLE_LIMIT_SECS);
        let idle = core.streams.iter().filter_map(|(id, s)| {
            let job = s.job.as_ref()?;
            let is_idle = job.step.is_none() && s.touched.elapsed() >= limit;
            (is_idle && job.head.is_none()).then_some((*id, job.request.attempt))
        });
        for (stream, attempt) in idle.collect::<Vec<_>>() {
            self.close(core, stream, attempt);
        }
    }

    /// Returns the throughput of full batches through all held layers, in tokens per second.
    fn full_batch_rate(&self) -> f64 {
        let batch = f64::from(self.settings.batch_limit());
        let step_secs = self.settings.step_ms / 1_000.0;
        batch / (step_secs + batch / self.settings.tokens_per_second)
    }

    /// Returns the report; its load is as old as the configured lag.
    pub(crate) fn report(&self) -> EndpointReport {
        let core = self.lock();
        let load = core.samples.front().copied();
        let held = core.held.as_ref();
        let links_ms = self.settings.link.iter().map(|link| {
            let fault = core.faults.link_ms.get(link.data_centre.as_str());
            (link.data_centre.clone(), fault.copied().unwrap_or(link.ms))
        });
        EndpointReport {
            endpoint: self.settings.endpoint.clone(),
            boot: self.boot,
            data_centre: self.settings.data_centre.clone(),
            service: None,
            model: held.map(|held| held.model.clone()),
            version: held.map(|held| held.version.clone()),
            layers: held.map(|held| held.layers),
            adapters: held.map_or_else(Vec::new, |held| held.adapters.clone()),
            loading: core.is_loading(),
            draining: core.is_draining(),
            slots: self.settings.slots,
            running: load.map_or(0, |load| load.running),
            waiting: load.map_or(0, |load| load.waiting),
            tokens_per_second: self.full_batch_rate(),
            step_ms: self.settings.step_ms,
            free_kv_tokens: load.map_or(self.settings.kv_tokens, |load| load.free_kv_tokens),
            layer_capacity: self.settings.layer_capacity,
            fence: core.fence,
            links_ms: links_ms.collect(),
            cache_seq: core.cache.seq(),
        }
    }
}
