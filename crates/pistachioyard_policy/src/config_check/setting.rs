//! The settings of a configuration's entries.

use std::fmt;

/// Names a setting of an entry.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Setting {
    /// The size of an activation, in bytes.
    ActivationBytes,
    /// The usual size of an answer, in tokens.
    AnswerTokens,
    /// Whether requests need no API key.
    Anonymous,
    /// The kinds of cards.
    Cards,
    /// The longest delay between two data centres.
    CrossingDelay,
    /// The target for pauses in a stream.
    GapTarget,
    /// The time in which a head must arrive.
    HeaderTimeout,
    /// The host name.
    Host,
    /// The time after which an idle connection is closed.
    IdleTimeout,
    /// The API keys.
    Keys,
    /// The memory of a token's cache, in bytes.
    KvTokenBytes,
    /// The target for the first or only answer.
    LatencyTarget,
    /// The number of layers.
    Layers,
    /// The size of a layer.
    LayerSize,
    /// The rate between two data centres.
    LinkRate,
    /// The time that a load of all layers takes.
    LoadTime,
    /// The number of loads at the same time.
    LoadsAtOnce,
    /// The number of endpoints that may run a request.
    MaxAttempts,
    /// The largest body of a request.
    MaxBody,
    /// The number of connections that an endpoint accepts.
    MaxConnections,
    /// The largest head of a request.
    MaxHeader,
    /// The memory of a card.
    Memory,
    /// The model.
    Model,
    /// The prefix of paths.
    PathPrefix,
    /// The factor on times of prompts.
    PrefillFactor,
    /// The rate at which prompts are read.
    PrefillRate,
    /// The urgency.
    Priority,
    /// The usual size of a prompt, in tokens.
    PromptTokens,
    /// Whether requests may be repeated.
    Repeatability,
    /// The delay of reports.
    ReportLag,
    /// The services and their weights.
    Services,
    /// The number of requests that an endpoint runs.
    Slots,
    /// The factor on times of steps.
    StepFactor,
    /// The time of a step.
    StepTime,
    /// The time of a step for each thousand tokens of context.
    StepTimeOfContext,
    /// The time of a step for each request.
    StepTimeOfRequest,
    /// Whether answers are streams.
    Stream,
    /// The time in which an answer must end.
    Timeout,
    /// The number of the version.
    Version,
}

impl fmt::Display for Setting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::ActivationBytes => "activation size",
            Self::AnswerTokens => "mean answer",
            Self::Anonymous => "without key",
            Self::Cards => "cards",
            Self::CrossingDelay => "longest delay",
            Self::GapTarget => "gap target",
            Self::HeaderTimeout => "header timeout",
            Self::Host => "host",
            Self::IdleTimeout => "idle timeout",
            Self::Keys => "keys",
            Self::KvTokenBytes => "cache of a token",
            Self::LatencyTarget => "latency target",
            Self::Layers => "number of layers",
            Self::LayerSize => "layer size",
            Self::LinkRate => "link rate",
            Self::LoadTime => "load time",
            Self::LoadsAtOnce => "number of loads at once",
            Self::MaxAttempts => "maximum of attempts",
            Self::MaxBody => "maximum body",
            Self::MaxConnections => "maximum of connections",
            Self::MaxHeader => "maximum head",
            Self::Memory => "memory",
            Self::Model => "model",
            Self::PathPrefix => "path prefix",
            Self::PrefillFactor => "prefill factor",
            Self::PrefillRate => "prefill rate",
            Self::Priority => "priority",
            Self::PromptTokens => "mean prompt",
            Self::Repeatability => "repeatability",
            Self::ReportLag => "report lag",
            Self::Services => "services",
            Self::Slots => "number of slots",
            Self::StepFactor => "step factor",
            Self::StepTime => "step time",
            Self::StepTimeOfContext => "step time of context",
            Self::StepTimeOfRequest => "step time of a request",
            Self::Stream => "stream",
            Self::Timeout => "timeout",
            Self::Version => "version",
        })
    }
}
