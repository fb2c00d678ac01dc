//! Tests of models whose layers are spread over cards: placement, paths, repair, endpoints,
//! pauses.

mod deaths;
mod endpoints;
mod fixture;
mod notices;
mod paths;
mod pauses;
mod placement;
mod plain;
mod repair;
mod revisions;
mod routing;
