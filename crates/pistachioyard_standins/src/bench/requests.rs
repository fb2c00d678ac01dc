//! Generation of the requests that the bench sends, from a seed.

use pistachioyard_wire::{ConfigFile, GenerateRequest, ModelName, Priority, WorkspaceName};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::BenchError;
use crate::deployment::Deployment;

/// The range of answer lengths, in tokens.
const ANSWER_TOKENS: std::ops::RangeInclusive<u32> = 40..=160;
/// The length of the template that starts every prompt of a workspace, in bytes.
const TEMPLATE_BYTES: usize = 512;
/// The fraction of high-priority requests if priorities are mixed.
const HIGH_FRACTION: f64 = 0.2;
/// The fraction of low-priority requests if priorities are mixed.
const LOW_FRACTION: f64 = 0.2;

/// Selects the priorities that requests carry.
#[derive(Clone, Copy, Debug)]
enum PriorityMix {
    /// No priority, so that the default of the workspace applies.
    WorkspaceDefault,
    /// Normal priority in every request.
    Normal,
    /// High, normal and low priority, at random.
    Mixed,
}

/// Generates requests with workspaces drawn by weight and random lengths and prompts.
#[derive(Clone, Debug)]
pub(super) struct RequestGenerator {
    model: ModelName,
    workspaces: Vec<(WorkspaceName, u32)>,
    priority_mix: PriorityMix,
    rng: ChaCha8Rng,
    generated: u64,
}

impl RequestGenerator {
    /// Creates a generator for all workspaces of a deployment.
    pub(super) fn new(deployment: Deployment, seed: u64) -> Result<Self, BenchError> {
        let file: ConfigFile = toml::from_str(deployment.config_text())?;
        let workspaces = file.workspaces.into_iter();
        Ok(Self {
            model: ModelName::try_from(deployment.model())?,
            workspaces: workspaces.map(|(name, w)| (name, w.weight)).collect(),
            priority_mix: PriorityMix::WorkspaceDefault,
            rng: ChaCha8Rng::seed_from_u64(seed),
            generated: 0,
        })
    }

    /// Restricts the requests to one workspace.
    pub(super) fn only(mut self, workspace: &str) -> Self {
        self.workspaces
            .retain(|(name, _)| name.as_str() == workspace);
        self
    }

    /// Excludes a workspace.
    pub(super) fn without(mut self, workspace: &str) -> Self {
        self.workspaces
            .retain(|(name, _)| name.as_str() != workspace);
        self
    }

    /// Gives every request a random priority.
    pub(super) fn with_mixed_priorities(mut self) -> Self {
        self.priority_mix = PriorityMix::Mixed;
        self
    }

    /// Gives every request normal priority.
    pub(super) fn with_normal_priority(mut self) -> Self {
        self.priority_mix = PriorityMix::Normal;
        self
    }

    /// Returns the mean answer length, in tokens.
    pub(super) fn mean_tokens() -> f64 {
        f64::from(ANSWER_TOKENS.start() + ANSWER_TOKENS.end()) / 2.0
    }

    /// Generates the next request.
    pub(super) fn next_request(&mut self) -> GenerateRequest {
        let workspace = self.draw_workspace();
        let max_tokens = self.rng.random_range(ANSWER_TOKENS);
        self.generated += 1;
        let template = format!("{workspace}: what the owner wrote. ");
        let mut prompt: String = template.chars().cycle().take(TEMPLATE_BYTES).collect();
        prompt.push_str(&format!(
            "Draft {} {:08x}",
            self.generated,
            self.rng.random::<u32>()
        ));
        GenerateRequest {
            workspace,
            model: self.model.clone(),
            adapter: None,
            prompt,
            max_tokens,
            priority: self.draw_priority(),
            deadline_ms: None,
            resume: None,
            received: Vec::new(),
        }
    }

    /// Draws the time until the next Poisson arrival, in seconds.
    pub(super) fn draw_interarrival_s(&mut self, per_second: f64) -> f64 {
        let uniform: f64 = self.rng.random_range(0.0..1.0);
        -(1.0 - uniform).ln() / per_second
    }

    /// Draws an index below `len`.
    pub(super) fn draw_index(&mut self, len: usize) -> usize {
        self.rng.random_range(0..len)
    }

    fn draw_workspace(&mut self) -> WorkspaceName {
        let sum: u32 = self.workspaces.iter().map(|(_, weight)| weight).sum();
        let mut drawn = self.rng.random_range(0..sum);
        let found = self.workspaces.iter().find(|(_, weight)| {
            let is_in_range = drawn < *weight;
            drawn = drawn.saturating_sub(*weight);
            is_in_range
        });
        found
            .expect("the drawn number is below the sum of the weights")
            .0
            .clone()
    }

    fn draw_priority(&mut self) -> Option<Priority> {
        match self.priority_mix {
            PriorityMix::WorkspaceDefault => None,
            PriorityMix::Normal => Some(Priority::Normal),
            PriorityMix::Mixed => Some(match self.rng.random_range(0.0..1.0) {
                fraction if fraction < HIGH_FRACTION => Priority::High,
                fraction if fraction < HIGH_FRACTION + LOW_FRACTION => Priority::Low,
                _ => Priority::Normal,
            }),
        }
    }
}
