//! The shared state of the service stand-in.

use std::collections::BTreeMap;
use std::time::Duration;

use parking_lot::Mutex;
use pistachioyard_wire::{BootId, CallName, EndpointReport, Fence};

use super::ServiceArgs;
use super::control::{EffectAnswer, EffectRecord, ServiceFaults};

/// The number of slots in the report.
const SLOTS: u32 = 64;

/// Represents the result of a call.
#[derive(Debug)]
pub(crate) enum CallResult {
    /// The call took effect.
    Answered(EffectAnswer),
    /// The call took effect, but its answer is dropped by a fault.
    AnswerDropped,
    /// The call is refused by a fault and had no effect.
    Refused,
}

#[derive(Debug, Default)]
struct Inner {
    effects: BTreeMap<(CallName, Option<String>), EffectRecord>,
    faults: ServiceFaults,
    running: u32,
}

/// Holds the state of the service stand-in.
#[derive(Debug)]
pub(crate) struct ServiceState {
    args: ServiceArgs,
    boot: BootId,
    inner: Mutex<Inner>,
}

impl ServiceState {
    pub(crate) fn new(args: ServiceArgs) -> Self {
        let faults = ServiceFaults {
            latency_ms: args.latency_ms,
            ..ServiceFaults::default()
        };
        let inner = Inner {
            faults,
            ..Inner::default()
        };
        Self {
            args,
            boot: BootId::generate(),
            inner: Mutex::new(inner),
        }
    }

    /// Runs a call: applies its effect at once and answers after the configured latency.
    pub(crate) async fn run(
        &self,
        call: CallName,
        key: Option<String>,
        body: String,
    ) -> CallResult {
        let (result, latency_ms) = self.apply_call(call, key, body);
        if matches!(result, CallResult::Refused) {
            return result;
        }
        tokio::time::sleep(Duration::from_millis(latency_ms)).await;
        self.inner.lock().running -= 1;
        result
    }

    /// Applies the effect of a call, unless it is refused, and returns its latency.
    fn apply_call(&self, call: CallName, key: Option<String>, body: String) -> (CallResult, u64) {
        let mut inner = self.inner.lock();
        let latency_ms = inner.faults.latency_ms;
        if inner.faults.refuse > 0 {
            inner.faults.refuse -= 1;
            return (CallResult::Refused, latency_ms);
        }
        inner.running += 1;
        let effect = inner.add_effect(call.clone(), key, body);
        if inner.faults.drop_answer > 0 {
            inner.faults.drop_answer -= 1;
            return (CallResult::AnswerDropped, latency_ms);
        }
        let answer = EffectAnswer { effect, call };
        (CallResult::Answered(answer), latency_ms)
    }

    pub(crate) fn effects(&self) -> Vec<EffectRecord> {
        self.inner.lock().effects.values().cloned().collect()
    }

    pub(crate) fn set_faults(&self, faults: ServiceFaults) {
        self.inner.lock().faults = faults;
    }

    pub(crate) fn report(&self) -> EndpointReport {
        let inner = self.inner.lock();
        EndpointReport {
            endpoint: self.args.endpoint.clone(),
            boot: self.boot,
            data_centre: self.args.data_centre.clone(),
            service: Some(self.args.service.clone()),
            model: None,
            version: None,
            layers: None,
            adapters: Vec::new(),
            loading: false,
            draining: inner.faults.draining,
            slots: SLOTS,
            running: inner.running,
            waiting: 0,
            tokens_per_second: 0.0,
            step_ms: 0.0,
            free_kv_tokens: 0,
            layer_capacity: 0,
            fence: Fence::default(),
            links_ms: Vec::new(),
            cache_seq: 0,
        }
    }
}

impl Inner {
    fn add_effect(&mut self, call: CallName, key: Option<String>, body: String) -> u64 {
        let record = self
            .effects
            .entry((call.clone(), key.clone()))
            .or_insert_with(|| EffectRecord {
                call,
                key,
                count: 0,
                body: String::new(),
            });
        record.count += 1;
        record.body = body;
        record.count
    }
}
