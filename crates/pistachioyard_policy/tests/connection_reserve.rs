//! Tests that connections and what others send fit into a machine together.

use pistachioyard_policy::bytes_beside_connections;

/// The memory of the operators' machines, in bytes, and their descriptors.
const MACHINES: [(usize, usize); 3] = [
    (260_000_000, 4_200),
    (390_000_000, 6_300),
    (520_000_000, 8_400),
];

/// Guards against shares of a memory that connections have taken already.
#[test]
fn connections_and_shares_fit_into_the_machine() {
    for (machine_bytes, max_descriptors) in MACHINES {
        let left = bytes_beside_connections(machine_bytes, max_descriptors);
        // 23 KB of buffers and tasks, and a head of 8 KB, of which nothing is counted.
        let connections = max_descriptors * 31_000;
        assert!(
            left + connections <= machine_bytes,
            "{left} of {machine_bytes}"
        );
    }
}

#[test]
fn a_machine_with_many_descriptors_keeps_some_memory_to_divide() {
    assert_eq!(bytes_beside_connections(100, 0), 100);
    assert_eq!(
        bytes_beside_connections(100_000_000, usize::MAX),
        25_000_000
    );
}
