//! Implements the router's decisions as pure logic, without I/O, tasks or a clock.
//!
//! The current time, the random number generator and all observed state are passed in as
//! arguments, so that tests can control time and seed randomness. The rules are explained in
//! `docs/design/`.

mod activity_tracker;
mod admission;
mod adoption;
mod bound;
mod burn;
mod call_pacer;
mod chain;
mod config_check;
mod connection_reserve;
mod crash_probe;
mod crossing_limiter;
mod departure;
mod endpoint_registry;
mod fair_queue;
mod fence_lead;
mod fleet;
mod freshness;
mod keyed_retry_budgets;
mod lease;
mod ledger;
mod membership;
mod memory_share;
mod part_quarantine;
mod pipeline;
mod placement;
mod plain_choice;
mod prefix_index;
mod presence;
mod quarantine;
mod reach;
mod request_limits;
mod restart_backoff;
mod retry_budget;
mod retry_budgets;
mod return_ledger;
mod return_spread;
mod routing;
mod run_fate;
mod stall_detector;
mod start_retries;
mod store_era;
mod store_position;
mod stream_guard;
mod time_histogram;
mod turn;
mod turn_history;
mod watch_pace;

pub use activity_tracker::ActivityTracker;
pub use admission::{
    AdmissionQueue, Applicant, Contention, ContentionReport, Demand, Joined, NewsTime,
    QueueRefusal, Standings, Ticket, WorkspaceLoad,
};
pub use adoption::{
    ActiveConfig, ApplyDecision, ConfigAdoption, ConfigRejected, ConfigStatus, decide_apply,
    is_plausible_revision, next_accepted, text_digest,
};
pub use bound::{throughput_bound, throughput_bound_with_links};
pub use burn::{
    BURN_WINDOWS, BurnAlert, BurnCounter, BurnReport, BurnWindow, Measure, merge_counts,
};
pub use call_pacer::CallPacer;
pub use chain::{
    Chain, ChainQuery, ChoicePolicy, NoChain, choose_chain, choose_chain_by, free_slots,
};
pub use config_check::{
    ConfigChange, ConfigFault, ConfigFinding, ConfigParts, ConfigPlace, Setting, Severity,
    check_config, compare_configs,
};
pub use connection_reserve::bytes_beside_connections;
pub use crash_probe::{CrashProbe, CrashVerdict, judge_crash};
pub use crossing_limiter::{CrossingLimiter, crossing_ms};
pub use departure::{CentreNews, CentreRoom, CentreTerms, DepartureTerms, Departures, StartAt};
pub use endpoint_registry::{
    EndpointChange, EndpointRecord, EndpointRegistry, EndpointReport, EndpointRun, GossipReport,
    ProbeResult, RunState, SuspectReason, ToldProbe,
};
pub use fair_queue::{DrainRate, FairQueue, QueueFull, QueuedRequest};
pub use fence_lead::FenceLead;
pub use fleet::{EndpointView, FleetView};
pub use freshness::Freshness;
pub use keyed_retry_budgets::KeyedRetryBudgets;
pub use lease::{EraLease, HeldLease, LeaseAction, LeaseRecord, decide_lease, raise_fence};
pub use ledger::{
    ChangeAnswer, Claim, ClaimState, KeyAgeError, LedgerChange, LedgerLayout, LedgerPage,
    LedgerPageError,
};
pub use membership::{
    GOSSIP_FANOUT, GossipScope, GossipTarget, Heartbeat, LOAD_FANOUT, MAX_HEARTBEATS, Membership,
    responsible_entry, run_key,
};
pub use memory_share::MemoryShare;
pub use part_quarantine::{
    LossCheck, PROOF_WRITING_TIME, PartConviction, PartFindings, PartQuarantine, PartVerdict,
    WritingTime,
};
pub use pipeline::{
    Card, CardState, LayerMove, LoadShare, LoadTracker, NoPath, Path, PathQuery, PathStage,
    PipelineSpec, ReadingBacklog, ReadingShare, RequestSize, StageOffer, choose_path,
    loads_to_start, max_reading, plan_moves, repair_path,
};
pub use placement::{
    HeldLayers, LoadPacer, PlacementChange, PlacementEndpoint, PlacementInput, PlacementModel,
    next_rollout_step, plan_placement, serving_version,
};
pub use plain_choice::{LatencyEstimates, choose_plain_endpoint};
pub use prefix_index::PrefixIndex;
pub use presence::Presence;
pub use quarantine::{
    Quarantine, QuarantineVerdict, RELAPSE_HOLD, SuspectReservations, UNDECIDED_TTL,
};
pub use reach::{Reach, ReachTracker};
pub use request_limits::{
    BadRate, FleetPart, LimitChange, PermitAnswer, RequestLimits, RequestRate, ReturnSchedule,
};
pub use restart_backoff::RestartBackoff;
pub use retry_budget::{RetryBudget, SharedRetryBudget};
pub use retry_budgets::{RetryBudgets, RetryUsage};
pub use return_ledger::{
    MAX_TOLD_BOOKINGS, Promise, RefusedRequest, ReturnLedger, ReturnNews, Standing, ToldBooking,
};
pub use return_spread::spread_return_ms;
pub use routing::{CallerLimits, Repeatability, Route, RouteTable, Service, Workspace};
pub use run_fate::RunFate;
pub use stall_detector::{PauseCheck, PauseVerdict, StallDetector};
pub use start_retries::{StartRetries, StartRetry};
pub use store_era::{EraNews, EraTracker};
pub use store_position::{StoreEra, StorePosition, WatchLag, is_later_era, is_other_era};
pub use stream_guard::{DropReason, GuardFault, GuardVerdict, StreamGuard};
pub use time_histogram::TimeHistogram;
pub use turn::Turn;
pub use turn_history::{LongTurn, TurnHistory};
pub use watch_pace::WatchRole;
