//! The example deployments that the demo, the tests and the benchmark run.

use clap::ValueEnum;

use crate::cluster::EngineSpec;

/// Selects an example deployment.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum Deployment {
    /// Drafts, submissions and status enquiries, in the region hr-jadran.
    Obnova,
    /// Rosters, notes and staff swaps, in the region deep-south.
    CradleCount,
}

/// Selects how many engines a cluster has.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum ClusterSize {
    /// Two endpoints for each range of layers, for tests.
    Small,
    /// About forty endpoints, as in the users' deployments.
    Full,
}

/// Describes the simulated speed of an accelerator type.
#[derive(Clone, Copy, Debug)]
struct Accelerator {
    name: &'static str,
    tokens_per_second: f64,
    step_ms: f64,
    /// The maximum number of streams in one batch.
    batch: u32,
}

/// The number of streams that an engine has memory for, per stream of its batch.
const SLOTS_PER_BATCH_STREAM: u32 = 12;

const FAST: Accelerator = Accelerator {
    name: "a",
    tokens_per_second: 10_000.0,
    step_ms: 8.0,
    batch: 2,
};
const MEDIUM: Accelerator = Accelerator {
    name: "b",
    tokens_per_second: 10_000.0,
    step_ms: 5.5,
    batch: 1,
};
const SLOW: Accelerator = Accelerator {
    name: "c",
    tokens_per_second: 8_000.0,
    step_ms: 4.5,
    batch: 1,
};

impl Deployment {
    /// All example deployments.
    pub const ALL: [Self; 2] = [Self::Obnova, Self::CradleCount];

    /// Returns the deployment's name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Obnova => "obnova",
            Self::CradleCount => "cradle-count",
        }
    }

    /// Returns the text of the operators' file.
    pub fn config_text(self) -> &'static str {
        match self {
            Self::Obnova => include_str!("../../../examples/obnova.toml"),
            Self::CradleCount => include_str!("../../../examples/cradle-count.toml"),
        }
    }

    /// Returns the region of its data centres.
    pub fn region(self) -> &'static str {
        match self {
            Self::Obnova => "hr-jadran",
            Self::CradleCount => "deep-south",
        }
    }

    /// Returns the names of its data centres.
    pub fn data_centres(self) -> [&'static str; 3] {
        match self {
            Self::Obnova => ["split-a", "split-b", "split-c"],
            Self::CradleCount => ["macon", "columbus", "dothan"],
        }
    }

    /// Returns the model that it serves.
    pub fn model(self) -> &'static str {
        match self {
            Self::Obnova => "draft-narrative",
            Self::CradleCount => "roster-assistant",
        }
    }

    /// Returns the version of the model.
    pub fn version(self) -> &'static str {
        match self {
            Self::Obnova => "2026-11",
            Self::CradleCount => "2026-10",
        }
    }

    /// Returns the number of the model's layers.
    pub fn layers(self) -> u32 {
        match self {
            Self::Obnova => 48,
            Self::CradleCount => 32,
        }
    }

    /// Returns the plain service and its call that is not idempotent.
    pub fn service_call(self) -> (&'static str, &'static str) {
        match self {
            Self::Obnova => ("submissions", "record"),
            Self::CradleCount => ("roster", "swap"),
        }
    }

    /// Returns the idempotent call of the service.
    pub fn idempotent_call(self) -> &'static str {
        match self {
            Self::Obnova => "status",
            Self::CradleCount => "clocked-in",
        }
    }

    /// Returns the names of a large and of a small workspace.
    pub fn workspaces(self) -> (&'static str, &'static str) {
        match self {
            Self::Obnova => ("zadar-stone", "hvar-chapels"),
            Self::CradleCount => ("macon-central", "ozark-little"),
        }
    }

    /// Returns the transfer time of one activation between two data centres, in ms.
    ///
    /// The slowest link takes a hundred times as long as the fastest one.
    pub fn link_ms(self, from: usize, to: usize) -> f64 {
        match from.abs_diff(to) {
            0 => 0.05,
            1 => 0.5,
            _ => 5.0,
        }
    }

    /// Returns the engines, placed so that most chains cross data centres.
    pub fn engines(self, size: ClusterSize) -> Vec<EngineSpec> {
        let mut engines = Vec::new();
        let groups: &[(Accelerator, u32, usize)] = match size {
            ClusterSize::Small => &[(MEDIUM, 3, 2)],
            ClusterSize::Full => &[(FAST, 2, 4), (MEDIUM, 3, 6), (SLOW, 4, 4)],
        };
        for (accelerator, stages, copies) in groups {
            for stage in 0..*stages {
                for copy in 0..*copies {
                    engines.push(self.engine(*accelerator, *stages, stage, copy));
                }
            }
        }
        engines
    }

    fn engine(self, accelerator: Accelerator, stages: u32, stage: u32, copy: usize) -> EngineSpec {
        let width = self.layers() / stages;
        EngineSpec {
            name: format!("{}-{}{}-{copy}", self.name(), accelerator.name, stage),
            data_centre: (stage as usize + copy % 2) % 3,
            accelerator: accelerator.name,
            first_layer: stage * width,
            end_layer: if stage + 1 == stages {
                self.layers()
            } else {
                (stage + 1) * width
            },
            tokens_per_second: accelerator.tokens_per_second,
            step_ms: accelerator.step_ms,
            batch: accelerator.batch,
            slots: accelerator.batch * SLOTS_PER_BATCH_STREAM,
            checks_fence: copy.is_multiple_of(2),
        }
    }
}
