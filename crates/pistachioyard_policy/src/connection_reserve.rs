//! Sets memory aside for connections, which hold some whatever arrives on them.

/// What a connection holds beside the shares, in bytes: its buffers, its task and a head of usual
/// size.
const CONNECTION_BYTES: usize = 32 * 1024;
/// The part of the machine's memory that is divided at least, however many descriptors it has.
const MIN_LEFT_SHARE: f64 = 0.25;

/// Returns how much of a machine's memory its connections leave if each descriptor is one, in bytes.
pub fn bytes_beside_connections(machine_bytes: usize, max_descriptors: usize) -> usize {
    let reserved = max_descriptors.saturating_mul(CONNECTION_BYTES);
    let least = (machine_bytes as f64 * MIN_LEFT_SHARE) as usize;
    machine_bytes.saturating_sub(reserved).max(least)
}
