//! Decisions of the router, without I/O, tasks or a clock.
//!
//! Time, randomness and views of the world come in as arguments, so that each
//! rule can be tested with made-up time and seeded randomness. The rules are
//! explained in `docs/design/`.

mod adoption;
mod bound;
mod burn;
mod chain;
mod crossing_meter;
mod endpoint_book;
mod fair_queue;
mod fleet;
mod flow_book;
mod gap_meter;
mod lease;
mod ledger;
mod membership;
mod pipeline;
mod placement;
mod plain_choice;
mod prefix_index;
mod quarantine;
mod retry_budget;
mod routing;
mod stream_guard;

pub use adoption::{
    ActiveConfig, ApplyDecision, ConfigAdoption, ConfigRejected, ConfigStatus, decide_apply,
    is_plausible_revision, next_accepted, text_digest,
};
pub use bound::{throughput_bound, throughput_bound_with_links};
pub use burn::{
    BURN_WINDOWS, BurnAlert, BurnCounter, BurnReport, BurnWindow, Measure, merge_counts,
};
pub use chain::{
    Chain, ChainQuery, ChoicePolicy, NoChain, choose_chain, choose_chain_by, free_slots,
};
pub use crossing_meter::{CrossingMeter, crossing_ms};
pub use endpoint_book::{
    EndpointBook, EndpointNews, EndpointRecord, EndpointReport, Hearsay, Suspect,
};
pub use fair_queue::{DrainRate, FairQueue, QueueFull, Ticket};
pub use fleet::{EndpointView, FleetView};
pub use flow_book::FlowBook;
pub use gap_meter::{GapMeter, Look, PauseVerdict};
pub use lease::{LeaseHold, LeaseMove, LeaseRecord, decide};
pub use ledger::{
    ChangeAnswer, Claim, ClaimState, KeyAgeError, LedgerChange, LedgerLayout, LedgerPage,
    LedgerPageError,
};
pub use membership::Membership;
pub use pipeline::{
    Card, CardState, LayerMove, LoadBook, NoPath, Path, PathQuery, PathStage, PipelineSpec,
    RequestSize, StageOffer, choose_path, first_loads, plan_cards, repair_path,
};
pub use placement::{
    Held, LoadPacer, PlacementChange, PlacementEndpoint, PlacementInput, PlacementModel,
    next_rollout_step, place, serving_version,
};
pub use plain_choice::{PlainPace, choose_plain};
pub use prefix_index::PrefixIndex;
pub use quarantine::{Quarantine, SuspectLanes, Verdict};
pub use retry_budget::{RetryBudget, SharedRetryBudget};
pub use routing::{CallerLimits, Repeatability, Route, RouteTable, Service, Workspace};
pub use stream_guard::{DropReason, GuardFault, GuardVerdict, StreamGuard};
