//! Entry point of the router and its client.

fn main() {}
