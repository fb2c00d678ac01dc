//! Entry point of the stand-ins.

fn main() {}
