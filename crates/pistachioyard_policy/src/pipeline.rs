//! Decisions about models whose layers are spread over cards of mixed size and pace.
//!
//! - [`card_placement`](self::plan_cards): which layers each card holds.
//! - [`load_order`](self::first_loads): which of them are loaded first.
//! - [`path_choice`](self::choose_path): which cards a request passes, in order.
//! - [`path_repair`](self::repair_path): which cards replace one that was lost meanwhile.
//! - [`load`](self::LoadBook): the memory that requests take on each card.
//!
//! See `docs/design/operators-platform.md`.

mod card_placement;
mod load;
mod load_order;
mod path_choice;
mod path_repair;
mod spec;

pub use card_placement::{CardState, LayerMove, plan_cards};
pub use load::{LoadBook, RequestSize};
pub use load_order::first_loads;
pub use path_choice::{NoPath, Path, PathQuery, PathStage, StageOffer, choose_path};
pub use path_repair::repair_path;
pub use spec::{Card, PipelineSpec};
