//! What memory is held for.

/// The number of bytes that each answer may take without a part of the memory, so that answers of
/// usual size never lack it.
const FREE_ANSWER_BYTES: usize = 16 * 1024;
/// The same for the buffer of each connection, so that heads of usual size never lack it.
const FREE_HEAD_BYTES: usize = 16 * 1024;
/// The same for the events of each stream, so that streams of usual size never lack it.
const FREE_EVENT_BYTES: usize = 16 * 1024;

/// Says what memory is held for; each kind has a share of its own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum MemoryKind {
    /// Answers of endpoints.
    Answers,
    /// Bodies of requests.
    Bodies,
    /// Events of streams that are not complete, or that their callers have not read.
    Events,
    /// Heads of requests.
    Heads,
    /// Answers of the store and of peers to this process's own calls.
    OwnCalls,
}

impl MemoryKind {
    /// Returns the name of the kind in logs and metric labels.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Answers => "answers",
            Self::Bodies => "bodies",
            Self::Events => "events",
            Self::Heads => "heads",
            Self::OwnCalls => "own_calls",
        }
    }

    /// Returns the number of bytes that each thing of the kind may take without a part of the
    /// memory.
    pub(crate) fn free_bytes(self) -> usize {
        match self {
            Self::Answers | Self::OwnCalls => FREE_ANSWER_BYTES,
            Self::Bodies => 0,
            Self::Events => FREE_EVENT_BYTES,
            Self::Heads => FREE_HEAD_BYTES,
        }
    }
}
