//! What memory is held for.

/// The number of bytes that each answer may take without a part of the memory, so that answers of
/// usual size never lack it.
const FREE_ANSWER_BYTES: usize = 16 * 1024;

/// Says what memory is held for; each kind has a share of its own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum MemoryKind {
    /// Answers of endpoints.
    Answers,
    /// Bodies of requests.
    Bodies,
    /// Answers of the store and of peers to this process's own calls.
    OwnCalls,
}

impl MemoryKind {
    /// Returns the name of the kind in logs and metric labels.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Answers => "answers",
            Self::Bodies => "bodies",
            Self::OwnCalls => "own_calls",
        }
    }

    /// Returns the number of bytes that each thing of the kind may take without a part of the
    /// memory.
    pub(super) fn free_bytes(self) -> usize {
        match self {
            Self::Answers | Self::OwnCalls => FREE_ANSWER_BYTES,
            Self::Bodies => 0,
        }
    }
}
