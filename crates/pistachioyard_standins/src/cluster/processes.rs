//! The processes of a cluster.

use std::net::SocketAddr;
use std::time::Duration;

use pistachioyard_wire::{
    DataCentre, EndpointId, HostKind, HostName, HostRecord, HostState, Region, Revision,
    ServiceName,
};

use super::{Binaries, ClusterError, ClusterPlan, EngineSpec};
use crate::{AddressPool, Child, HttpClient, HttpClientConfig, Launcher, Route, wait_until};

/// The maximum time that the processes of a cluster may take to become ready.
pub(super) const READY_TIMEOUT: Duration = Duration::from_secs(40);

/// Holds one entry process and its addresses.
#[derive(Debug)]
pub struct EntryProcess {
    /// The entry's name.
    pub name: String,
    /// The address that it listens on for callers.
    pub caller: SocketAddr,
    /// The address that it listens on for peers.
    pub peer: SocketAddr,
    /// The peer address that it advertises.
    pub advertised_peer: SocketAddr,
    /// The process.
    pub child: Child,
    pub(super) settings: std::path::PathBuf,
}

/// Holds one engine or plain-service process and its addresses.
#[derive(Debug)]
pub struct EndpointProcess {
    /// The endpoint id.
    pub name: String,
    /// The index of its data centre in the deployment's list.
    pub data_centre: usize,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The address in the host list: that of the proxy, if there is one.
    pub listed: SocketAddr,
    /// The process.
    pub child: Child,
    pub(super) args: Vec<String>,
}

/// Runs a deployment of stand-ins and entries; all processes are killed on drop.
#[derive(Debug)]
pub struct Cluster {
    /// The plan that it was started from.
    pub plan: ClusterPlan,
    /// The address that the platform stand-in listens on.
    pub platform: SocketAddr,
    /// The platform's process.
    pub platform_child: Child,
    /// The entries.
    pub entries: Vec<EntryProcess>,
    /// The engines.
    pub engines: Vec<EndpointProcess>,
    /// The plain services.
    pub services: Vec<EndpointProcess>,
    /// The host list to send to the platform.
    pub hosts: Vec<HostRecord>,
    /// The proxy's control address; `None` without a proxy.
    pub proxy: Option<SocketAddr>,
    /// The address under which entries reach the platform.
    pub listed_platform: SocketAddr,
    /// The client for calls to the processes.
    pub client: HttpClient,
    pub(super) launcher: Launcher,
    pool: AddressPool,
    pub(super) binaries: Binaries,
    _proxy_child: Option<Child>,
    /// The advertised peer addresses of all entries, chosen before the entries start.
    seeds: Vec<SocketAddr>,
    directory: tempfile::TempDir,
}

impl Cluster {
    /// Starts all processes, applies the operators' file and waits until all entries are ready.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot be started or is not ready in time.
    pub async fn start(plan: ClusterPlan) -> Result<Self, ClusterError> {
        let cluster = Self::start_without_config(plan).await?;
        let text = cluster.plan.deployment.config_text().to_owned();
        cluster.apply(0, Revision(0), text).await?;
        cluster.wait_ready().await?;
        Ok(cluster)
    }

    /// Starts all processes without applying an operators' file.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot be started or is not ready in time.
    pub async fn start_without_config(plan: ClusterPlan) -> Result<Self, ClusterError> {
        let binaries = Binaries::find()?;
        let launcher = Launcher::new()?;
        let pool = AddressPool::new()?;
        let client = HttpClient::new(HttpClientConfig::default());
        let platform = pool.next_address()?;
        let platform_child = launcher.spawn(
            "platform",
            &binaries.standins,
            standin_args("platform", &[("--listen", platform.to_string())]),
        )?;
        let mut cluster = Self {
            platform,
            platform_child,
            entries: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            hosts: Vec::new(),
            proxy: None,
            listed_platform: platform,
            client,
            launcher,
            pool,
            binaries,
            _proxy_child: None,
            seeds: Vec::new(),
            directory: tempfile::TempDir::new().map_err(ClusterError::Settings)?,
            plan,
        };
        cluster.start_proxy().await?;
        cluster.listed_platform = cluster.advertised_address(platform).await?;
        cluster.start_engines().await?;
        cluster.start_services().await?;
        cluster.wait_until_up(platform, "the platform").await?;
        cluster.put_hosts().await?;
        cluster.start_entries().await?;
        Ok(cluster)
    }

    pub(super) async fn wait_until_up(
        &self,
        address: SocketAddr,
        what: &str,
    ) -> Result<(), ClusterError> {
        Ok(wait_until(READY_TIMEOUT, what, || async move {
            tokio::net::TcpStream::connect(address).await.is_ok()
        })
        .await?)
    }

    async fn start_proxy(&mut self) -> Result<(), ClusterError> {
        if !self.plan.is_proxied {
            return Ok(());
        }
        let control = self.pool.next_address()?;
        let args = standin_args("proxy", &[("--listen-control", control.to_string())]);
        self._proxy_child = Some(
            self.launcher
                .spawn("proxy", &self.binaries.standins, args)?,
        );
        self.wait_until_up(control, "the proxy").await?;
        self.proxy = Some(control);
        Ok(())
    }

    /// Returns the address under which others reach a process, with a proxy route to it if needed.
    async fn advertised_address(&self, target: SocketAddr) -> Result<SocketAddr, ClusterError> {
        let Some(control) = self.proxy else {
            return Ok(target);
        };
        let listen = self.pool.next_address()?;
        let routes = [Route { listen, target }];
        let _: () = self
            .client
            .put_json(control, "/control/routes", &routes)
            .await?;
        Ok(listen)
    }

    async fn start_engines(&mut self) -> Result<(), ClusterError> {
        for spec in self.plan.engines.clone() {
            let address = self.pool.next_address()?;
            let args = self.engine_args(&spec, address);
            let listed = self.advertised_address(address).await?;
            let child = self
                .launcher
                .spawn(&spec.name, &self.binaries.standins, &args)?;
            let kind = HostKind::Engine {
                accelerator: spec.accelerator.to_owned(),
            };
            let host = self.host(
                &spec.name,
                listed,
                spec.data_centre,
                kind,
                spec.checks_fence,
            )?;
            self.hosts.push(host);
            self.engines.push(EndpointProcess {
                name: spec.name,
                data_centre: spec.data_centre,
                address,
                listed,
                child,
                args,
            });
        }
        Ok(())
    }

    fn engine_args(&self, spec: &EngineSpec, address: SocketAddr) -> Vec<String> {
        let deployment = self.plan.deployment;
        let data_centres = deployment.data_centres();
        let mut args = standin_args(
            "engine",
            &[
                ("--listen", address.to_string()),
                ("--endpoint", spec.name.clone()),
                ("--host", format!("host-{}", spec.name)),
                ("--data-centre", data_centres[spec.data_centre].to_owned()),
                ("--model", deployment.model().to_owned()),
                ("--version", deployment.version().to_owned()),
                (
                    "--layers",
                    format!("{}..{}", spec.first_layer, spec.end_layer),
                ),
                (
                    "--layer-capacity",
                    (spec.end_layer - spec.first_layer).to_string(),
                ),
                ("--slots", spec.slots.to_string()),
                ("--batch", spec.batch.to_string()),
                ("--tokens-per-second", spec.tokens_per_second.to_string()),
                ("--step-ms", spec.step_ms.to_string()),
            ],
        );
        for (place, name) in data_centres.iter().enumerate() {
            let ms = deployment.link_ms(spec.data_centre, place);
            args.push("--link".to_owned());
            args.push(format!("{name}={ms}"));
        }
        if spec.checks_fence {
            args.push("--checks-fence".to_owned());
        }
        args
    }

    async fn start_services(&mut self) -> Result<(), ClusterError> {
        let (service, _) = self.plan.deployment.service_call();
        for place in 0..self.plan.services {
            let name = format!("{service}-{place}");
            let data_centre = place % 3;
            let address = self.pool.next_address()?;
            let args = standin_args(
                "service",
                &[
                    ("--listen", address.to_string()),
                    ("--endpoint", name.clone()),
                    ("--host", format!("host-{name}")),
                    (
                        "--data-centre",
                        self.plan.deployment.data_centres()[data_centre].to_owned(),
                    ),
                    ("--service", service.to_owned()),
                ],
            );
            let listed = self.advertised_address(address).await?;
            let child = self.launcher.spawn(&name, &self.binaries.standins, &args)?;
            let kind = HostKind::Service {
                service: ServiceName::try_from(service)?,
            };
            let host = self.host(&name, listed, data_centre, kind, false)?;
            self.hosts.push(host);
            self.services.push(EndpointProcess {
                name,
                data_centre,
                address,
                listed,
                child,
                args,
            });
        }
        Ok(())
    }

    fn host(
        &self,
        name: &str,
        address: SocketAddr,
        data_centre: usize,
        kind: HostKind,
        checks_fence: bool,
    ) -> Result<HostRecord, ClusterError> {
        Ok(HostRecord {
            host: HostName::try_from(format!("host-{name}"))?,
            endpoint: EndpointId::try_from(name)?,
            address,
            region: Region::try_from(self.plan.deployment.region())?,
            data_centre: DataCentre::try_from(self.plan.deployment.data_centres()[data_centre])?,
            kind,
            checks_fence,
            state: HostState::Live,
        })
    }

    /// Sends the host list in [`Cluster::hosts`] to the platform.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    pub async fn put_hosts(&self) -> Result<(), ClusterError> {
        Ok(self
            .client
            .put_json(self.platform, "/control/hosts", &self.hosts)
            .await?)
    }

    async fn start_entries(&mut self) -> Result<(), ClusterError> {
        let mut addresses = Vec::new();
        for _ in 0..self.plan.entries {
            let caller = self.pool.next_address()?;
            let peer = SocketAddr::new(caller.ip(), caller.port() + 1);
            let advertised = self.advertised_address(peer).await?;
            addresses.push((caller, peer, advertised));
        }
        self.seeds = addresses.iter().map(|(_, _, peer)| *peer).collect();
        for (place, (caller, peer, advertised_peer)) in addresses.into_iter().enumerate() {
            let name = format!("entry-{place}");
            let settings = self.write_settings(&name, place, caller, peer, advertised_peer)?;
            let child = self.spawn_entry(&name, &settings)?;
            self.entries.push(EntryProcess {
                name,
                caller,
                peer,
                advertised_peer,
                child,
                settings,
            });
        }
        for entry in &self.entries {
            self.wait_until_up(entry.caller, &entry.name).await?;
        }
        Ok(())
    }

    fn write_settings(
        &self,
        name: &str,
        place: usize,
        caller: SocketAddr,
        peer: SocketAddr,
        advertised_peer: SocketAddr,
    ) -> Result<std::path::PathBuf, ClusterError> {
        let data_centre = self.plan.deployment.data_centres()[place % 3];
        let peers: Vec<String> = self
            .seeds
            .iter()
            .filter(|seed| **seed != advertised_peer)
            .map(|seed| format!("\"{seed}\""))
            .collect();
        let text = format!(
            "entry = \"{name}\"\n\
             data_centre = \"{data_centre}\"\n\
             caller_address = \"{caller}\"\n\
             peer_address = \"{peer}\"\n\
             advertised_peer_address = \"{advertised_peer}\"\n\
             platform = \"{}\"\n\
             peers = [{}]\n{}",
            self.listed_platform,
            peers.join(", "),
            self.plan.entry_settings,
        );
        let path = self.directory.path().join(format!("{name}.toml"));
        std::fs::write(&path, text).map_err(ClusterError::Settings)?;
        Ok(path)
    }

    pub(super) fn spawn_entry(
        &self,
        name: &str,
        settings: &std::path::Path,
    ) -> Result<Child, ClusterError> {
        let args = [
            "entry".into(),
            "--config".into(),
            settings.as_os_str().to_owned(),
        ];
        Ok(self.launcher.spawn(name, &self.binaries.router, args)?)
    }
}

pub(super) fn standin_args(command: &str, pairs: &[(&str, String)]) -> Vec<String> {
    let mut args = vec!["--exit-with-stdin".to_owned(), command.to_owned()];
    for (flag, value) in pairs {
        args.push((*flag).to_owned());
        args.push(value.clone());
    }
    args
}
