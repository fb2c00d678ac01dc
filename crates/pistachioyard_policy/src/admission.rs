//! Decides which request goes next while there is not room for all, and which one is refused.
//!
//! Load pattern: a crowd asks for several times the room, or a few workspaces send most of the
//! traffic. Each entry has one queue for each service. Across entries, which have no common queue,
//! the less urgent requests and the largest workspaces leave free what others will ask for until
//! the next news of the load. See `docs/design/admission.md`.

mod contention;
mod contention_report;
mod demand;
mod fleet_sum;
mod news_time;
mod queue;
mod standings;
mod waiting;

pub use contention::Contention;
pub use contention_report::{ContentionReport, WorkspaceLoad};
pub use demand::Demand;
pub use news_time::NewsTime;
pub use queue::{AdmissionQueue, Joined, QueueRefusal};
pub use standings::Standings;
pub use waiting::{Applicant, Ticket};
