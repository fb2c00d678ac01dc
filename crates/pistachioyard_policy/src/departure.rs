//! Decides when requests leave their data centre, how many do, and at what cost they start
//! elsewhere.
//!
//! Each data centre offers others the memory that its own callers do not need. Each entry of a
//! data centre that is short takes an equal part of an offer and holds the requests that it has in
//! progress there below it, so no message has to pass between a decision and the next one. See
//! `docs/design/leaving-the-data-centre.md`.

mod centre_news;
mod centre_room;
mod demand;
mod departures;
mod start_at;
mod terms;

pub use centre_news::CentreNews;
pub use centre_room::CentreRoom;
pub use departures::Departures;
pub use start_at::StartAt;
pub use terms::{CentreTerms, DepartureTerms};
