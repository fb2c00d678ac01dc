//! The requests that the bench sends, drawn from a seed.

use pistachioyard_wire::{ConfigFile, GenerateRequest, ModelName, Priority, WorkspaceName};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::BenchError;
use crate::deployment::Deployment;

/// The lengths of answers, in tokens.
const ANSWER_TOKENS: std::ops::RangeInclusive<u32> = 40..=160;
/// The bytes of a workspace's template, with which its prompts begin.
const TEMPLATE_BYTES: usize = 512;
/// The share of requests of high priority where priorities are mixed.
const HIGH_SHARE: f64 = 0.2;
/// The share of requests of low priority where priorities are mixed.
const LOW_SHARE: f64 = 0.2;

/// The priorities that requests name.
#[derive(Clone, Copy, Debug)]
enum Priorities {
    /// None, so that the workspace's own counts.
    OfWorkspace,
    /// The usual one.
    Normal,
    /// All of them.
    Mixed,
}

/// Draws requests: workspaces by weight, mixed lengths and prompts.
#[derive(Clone, Debug)]
pub(super) struct RequestMaker {
    model: ModelName,
    workspaces: Vec<(WorkspaceName, u32)>,
    priorities: Priorities,
    rng: ChaCha8Rng,
    made: u64,
}

impl RequestMaker {
    /// Makes requests of all workspaces of a deployment.
    pub(super) fn new(deployment: Deployment, seed: u64) -> Result<Self, BenchError> {
        let file: ConfigFile = toml::from_str(deployment.config_text())?;
        let workspaces = file.workspaces.into_iter();
        Ok(Self {
            model: ModelName::try_from(deployment.model())?,
            workspaces: workspaces.map(|(name, w)| (name, w.weight)).collect(),
            priorities: Priorities::OfWorkspace,
            rng: ChaCha8Rng::seed_from_u64(seed),
            made: 0,
        })
    }

    /// Restricts the requests to those of one workspace.
    pub(super) fn only(mut self, workspace: &str) -> Self {
        self.workspaces
            .retain(|(name, _)| name.as_str() == workspace);
        self
    }

    /// Leaves a workspace out.
    pub(super) fn without(mut self, workspace: &str) -> Self {
        self.workspaces
            .retain(|(name, _)| name.as_str() != workspace);
        self
    }

    /// Names a priority in each request.
    pub(super) fn with_mixed_priorities(mut self) -> Self {
        self.priorities = Priorities::Mixed;
        self
    }

    /// Gives every request the same priority.
    pub(super) fn with_normal_priority(mut self) -> Self {
        self.priorities = Priorities::Normal;
        self
    }

    /// Returns the mean length of an answer, in tokens.
    pub(super) fn mean_tokens() -> f64 {
        f64::from(ANSWER_TOKENS.start() + ANSWER_TOKENS.end()) / 2.0
    }

    /// Draws the next request.
    pub(super) fn next_request(&mut self) -> GenerateRequest {
        let workspace = self.draw_workspace();
        let max_tokens = self.rng.random_range(ANSWER_TOKENS);
        self.made += 1;
        let template = format!("{workspace}: what the owner wrote. ");
        let mut prompt: String = template.chars().cycle().take(TEMPLATE_BYTES).collect();
        prompt.push_str(&format!(
            "Draft {} {:08x}",
            self.made,
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

    /// Draws the pause before the next arrival, in seconds.
    pub(super) fn next_pause(&mut self, per_second: f64) -> f64 {
        let share: f64 = self.rng.random_range(0.0..1.0);
        -(1.0 - share).ln() / per_second
    }

    /// Draws a place below `len`.
    pub(super) fn draw_place(&mut self, len: usize) -> usize {
        self.rng.random_range(0..len)
    }

    fn draw_workspace(&mut self) -> WorkspaceName {
        let sum: u32 = self.workspaces.iter().map(|(_, weight)| weight).sum();
        let mut drawn = self.rng.random_range(0..sum);
        let found = self.workspaces.iter().find(|(_, weight)| {
            let is_here = drawn < *weight;
            drawn = drawn.saturating_sub(*weight);
            is_here
        });
        found.expect("the drawn number is below the sum").0.clone()
    }

    fn draw_priority(&mut self) -> Option<Priority> {
        match self.priorities {
            Priorities::OfWorkspace => None,
            Priorities::Normal => Some(Priority::Normal),
            Priorities::Mixed => Some(match self.rng.random_range(0.0..1.0) {
                share if share < HIGH_SHARE => Priority::High,
                share if share < HIGH_SHARE + LOW_SHARE => Priority::Low,
                _ => Priority::Normal,
            }),
        }
    }
}
