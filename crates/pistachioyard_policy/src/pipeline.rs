//! Makes decisions about models whose layers are spread over cards of different size and speed.
//!
//! - [`card_placement`](self::plan_moves): selects the layers that each card holds.
//! - [`load_order`](self::loads_to_start): selects the layers that are loaded first.
//! - [`path_choice`](self::choose_path): selects the cards that run a request, in order.
//! - [`path_repair`](self::repair_path): replaces a card that fails during a request.
//! - [`load`](self::LoadTracker): tracks the memory that requests use on each card.
//! - [`reading`](self::ReadingBacklog): tracks the prompts that each card still has to read.
//! - [`saturation`](self::max_reading): estimates how long they take.
//!
//! See `docs/design/operators-platform.md`.

mod card_placement;
mod card_state;
mod load;
mod load_order;
mod path_choice;
mod path_repair;
mod reading;
mod saturation;
mod spec;

pub use card_placement::plan_moves;
pub use card_state::{CardState, LayerMove};
pub use load::{LoadShare, LoadTracker, RequestSize};
pub use load_order::loads_to_start;
pub use path_choice::{NoPath, Path, PathQuery, PathStage, StageOffer, choose_path};
pub use path_repair::repair_path;
pub use reading::{ReadingBacklog, ReadingShare};
pub use saturation::max_reading;
pub use spec::{Card, PipelineSpec};
