//! What a service used of its retry budget.

/// Counts what the requests of a service asked of its retry budget.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RetryUsage {
    /// The number of requests, each with a first try.
    pub first_tries: u64,
    /// The number of retries that were allowed.
    pub retries: u64,
    /// The number of retries that the budget did not allow.
    pub denied: u64,
}
