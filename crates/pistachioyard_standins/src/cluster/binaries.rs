//! Finds the programs that a cluster runs.

use std::path::{Path, PathBuf};

use super::ClusterError;

/// The programs of a cluster, from the directory of the running program.
#[derive(Clone, Debug)]
pub struct Binaries {
    /// The daemon and client.
    pub router: PathBuf,
    /// The stand-ins.
    pub standins: PathBuf,
}

impl Binaries {
    /// Finds both programs beside the running one, or one directory above, where
    /// cargo puts them for tests.
    ///
    /// # Errors
    ///
    /// Fails when one of them has not been built.
    pub fn find() -> Result<Self, ClusterError> {
        let own = std::env::current_exe().map_err(ClusterError::OwnPath)?;
        let own = own.parent().unwrap_or(Path::new("."));
        let find = |name: &'static str| {
            [Some(own), own.parent()]
                .into_iter()
                .flatten()
                .map(|directory| directory.join(name))
                .find(|path| path.is_file())
                .ok_or(ClusterError::NotBuilt { name })
        };
        Ok(Self {
            router: find("pistachioyard")?,
            standins: find("pistachioyard_standins")?,
        })
    }
}
