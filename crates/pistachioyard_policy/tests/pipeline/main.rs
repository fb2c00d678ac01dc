//! Models whose layers are spread over cards: placement, paths, endpoints, pauses.

mod endpoints;
mod fixture;
mod paths;
mod pauses;
mod placement;
mod plain;
mod routing;
