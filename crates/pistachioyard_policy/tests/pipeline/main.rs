//! Models whose layers are spread over cards: placement, paths, endpoints, pauses.

mod endpoints;
mod fixture;
mod mending;
mod paths;
mod pauses;
mod placement;
mod plain;
mod routing;
