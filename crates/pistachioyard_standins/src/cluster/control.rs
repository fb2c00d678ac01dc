//! Operations on a running cluster, for tests.

use std::net::SocketAddr;

use pistachioyard_wire::{ApplyAnswer, ApplyId, ApplyRequest, ForceStatus, Revision};

use super::processes::{READY_TIMEOUT, standin_args};
use super::{Cluster, ClusterError, EntryProcess};
use crate::{FaultRule, PlatformFaults, wait_until};

impl Cluster {
    /// Applies an operators' file through one entry.
    ///
    /// # Errors
    ///
    /// Fails when the entry does not answer or does not accept the file.
    pub async fn apply(
        &self,
        entry: usize,
        base: Revision,
        text: String,
    ) -> Result<Revision, ClusterError> {
        let req = ApplyRequest {
            apply: ApplyId::generate(),
            base,
            text,
        };
        let answer: ApplyAnswer = self
            .client
            .post_json(self.entries[entry].caller, "/v1/config", &req)
            .await?;
        match answer {
            ApplyAnswer::Accepted { revision } => Ok(revision),
            other => Err(ClusterError::NotAccepted {
                answer: format!("{other:?}"),
            }),
        }
    }

    /// Waits until every entry is ready, can use every endpoint and knows every entry.
    ///
    /// # Errors
    ///
    /// Fails when that does not happen in time.
    pub async fn wait_ready(&self) -> Result<(), ClusterError> {
        for entry in &self.entries {
            self.wait_entry_ready(entry).await?;
        }
        Ok(())
    }

    /// Waits until one entry is ready, can use every endpoint and knows every entry.
    ///
    /// # Errors
    ///
    /// Fails when that does not happen in time.
    pub async fn wait_entry_ready(&self, entry: &EntryProcess) -> Result<(), ClusterError> {
        let what = format!("{} to be ready", entry.name);
        let expected = self.engines.len() + self.services.len();
        Ok(wait_until(READY_TIMEOUT, &what, || async {
            self.status(entry.caller).await.is_ok_and(|status| {
                status.ready
                    && status.usable_endpoints as usize >= expected
                    && status.entries.len() >= self.entries.len()
            })
        })
        .await?)
    }

    /// Returns the status of an entry.
    ///
    /// # Errors
    ///
    /// Fails when the entry does not answer.
    pub async fn status(&self, entry: SocketAddr) -> Result<ForceStatus, ClusterError> {
        Ok(self.client.get_json(entry, "/v1/status").await?)
    }

    /// Sets the faults of the platform stand-in, which replace all earlier ones.
    ///
    /// # Errors
    ///
    /// Fails when the platform's control interface does not answer.
    pub async fn set_platform_faults(&self, faults: &PlatformFaults) -> Result<(), ClusterError> {
        Ok(self
            .client
            .put_json(self.platform, "/control/faults", faults)
            .await?)
    }

    /// Sets the faults of the fault proxy, which replace all earlier ones.
    ///
    /// # Errors
    ///
    /// Fails when the proxy does not answer, or when the cluster has no proxy and `rules` is
    /// not empty.
    pub async fn set_proxy_faults(&self, rules: &[FaultRule]) -> Result<(), ClusterError> {
        let control = self.proxy.unwrap_or(self.platform);
        Ok(self
            .client
            .put_json(control, "/control/faults", rules)
            .await?)
    }

    /// Restarts an entry that has ended, at the same addresses.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be started or does not listen in time.
    pub async fn restart_entry(&mut self, index: usize) -> Result<(), ClusterError> {
        let entry = &self.entries[index];
        let child = self.spawn_entry(&entry.name, &entry.settings)?;
        let caller = entry.caller;
        self.entries[index].child = child;
        self.wait_until_up(caller, "the restarted entry").await
    }

    /// Restarts an engine that has ended, at the same address.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be started.
    pub fn restart_engine(&mut self, index: usize) -> Result<(), ClusterError> {
        let engine = &self.engines[index];
        let child = self
            .launcher
            .spawn(&engine.name, &self.binaries.standins, &engine.args)?;
        self.engines[index].child = child;
        Ok(())
    }

    /// Restarts a plain service that has ended, at the same address.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be started.
    pub fn restart_service(&mut self, index: usize) -> Result<(), ClusterError> {
        let service = &self.services[index];
        let child = self
            .launcher
            .spawn(&service.name, &self.binaries.standins, &service.args)?;
        self.services[index].child = child;
        Ok(())
    }

    /// Restarts the platform after it has ended, at the same address and without its objects.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be started or does not listen in time.
    pub async fn restart_platform(&mut self) -> Result<(), ClusterError> {
        let listen = self.platform.to_string();
        let args = standin_args("platform", &[("--listen", listen)]);
        self.platform_child = self
            .launcher
            .spawn("platform", &self.binaries.standins, args)?;
        self.wait_until_up(self.platform, "the platform").await
    }

    /// Returns the logs of all entries, to print when a test fails.
    pub fn entry_logs(&self) -> String {
        self.entries
            .iter()
            .map(|entry| format!("== {}\n{}\n", entry.name, entry.child.log()))
            .collect()
    }
}
