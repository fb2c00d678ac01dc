//! The retries that this entry may make, and what it tells of them.

use pistachioyard_policy::RetryUsage;
use pistachioyard_wire::{EntryState, ServiceName};

use super::{Router, metric};
use crate::prelude::*;

impl Router {
    /// Divides the retry budgets among the entries that may use them or have used them recently.
    ///
    /// An entry that is not heard may only be cut off from this one, and the retries that a lost
    /// entry made still count against the budgets.
    pub(crate) fn divide_retry_budgets(&self, now: Instant) {
        let parts = {
            let members = self.members.lock();
            let live = members.all(now).into_iter();
            let live = live.filter(|(_, state)| *state != EntryState::Lost);
            let mut presence = self.presence.lock();
            presence.note_live(live.map(|(record, _)| record.entry), now);
            presence.parts(now)
        };
        let (parts_before, usage) = {
            let mut retries = self.retries.lock();
            let parts_before = retries.parts();
            retries.rebalance(parts, now);
            (parts_before, retries.take_usage(now))
        };
        if parts != parts_before {
            spdlog::info!("retries: slack is divided anew", kv: {
                parts = parts.unwrap_or_default(),
                parts_before = parts_before.unwrap_or_default()
            });
        }
        for (service, usage) in usage.unwrap_or_default() {
            self.log_retry_usage(&service, usage);
        }
    }

    /// Logs what a service used of its retry budget in the last window, if it retried.
    fn log_retry_usage(&self, service: &ServiceName, usage: RetryUsage) {
        if usage.retries + usage.denied == 0 {
            return;
        }
        let (left, parts) = {
            let retries = self.retries.lock();
            (retries.left(service), retries.parts().unwrap_or_default())
        };
        spdlog::info!("retries: used in the last window", kv: {
            service = service.as_str(), first_tries = usage.first_tries, retries = usage.retries,
            denied = usage.denied, left, parts
        });
    }

    /// Counts the first try of a request for a service.
    pub(crate) fn count_first_try(&self, service: &ServiceName) {
        self.retries.lock().on_first_try(service);
        metric::count_first_try(service);
    }

    /// Returns whether this entry's part of a service's retry budget has a retry left.
    pub(crate) fn has_retry(&self, service: &ServiceName) -> bool {
        self.retries.lock().has_retry(service)
    }

    /// Takes one retry from this entry's part of a service's budget; returns whether one was left.
    pub(crate) fn try_retry(&self, service: &ServiceName) -> bool {
        let (allowed, left) = {
            let mut retries = self.retries.lock();
            (retries.try_retry(service), retries.left(service))
        };
        metric::count_retry(service, allowed, left);
        allowed
    }
}
