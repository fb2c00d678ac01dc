//! Finds the programs that a cluster runs.

use std::path::{Path, PathBuf};

use super::ClusterError;

/// Holds the paths of the programs that a cluster runs.
#[derive(Clone, Debug)]
pub struct Binaries {
    /// The router, which is both the daemon and the command-line client.
    pub router: PathBuf,
    /// The program that contains all stand-ins.
    pub standins: PathBuf,
}

impl Binaries {
    /// Finds both programs in the directory of the running one or in its parent,
    /// where cargo puts them for tests.
    ///
    /// # Errors
    ///
    /// Fails when one of them has not been built.
    pub fn find() -> Result<Self, ClusterError> {
        let exe = std::env::current_exe().map_err(ClusterError::CurrentExe)?;
        let own_directory = exe.parent().unwrap_or(Path::new("."));
        let find = |name: &'static str| {
            [Some(own_directory), own_directory.parent()]
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
