//! Tests that what others send stays within the memory for it together.

use std::net::SocketAddr;

use pistachioyard_policy::MemoryShare;

const MAX_BYTES: usize = 1_000_000;
const PART: usize = 10_000;

fn sender(n: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, n], 80))
}

/// Takes parts for a sender until it gets no more; returns the number of bytes.
fn take_all(memory: &mut MemoryShare, from: SocketAddr) -> usize {
    let mut taken = 0;
    while memory.take(from, PART) {
        taken += PART;
    }
    taken
}

/// Guards against one endpoint without end that takes the memory for the answers of all.
#[test]
fn one_sender_leaves_room_for_others() {
    let mut memory = MemoryShare::new(MAX_BYTES);
    let first = take_all(&mut memory, sender(1));
    assert!(first <= MAX_BYTES / 2, "{first}");
    let second = take_all(&mut memory, sender(2));
    assert!(second >= MAX_BYTES / 5, "{second}");
}

#[test]
fn all_senders_together_stay_within_the_memory() {
    let mut memory = MemoryShare::new(MAX_BYTES);
    let taken: usize = (0..100).map(|n| take_all(&mut memory, sender(n))).sum();
    assert!(taken <= MAX_BYTES, "{taken}");
    assert_eq!(memory.used_bytes(), taken);
    assert!(!memory.take(sender(200), MAX_BYTES));
    assert_eq!(memory.refusals(), 101);
}

#[test]
fn memory_that_is_given_back_can_be_taken_again() {
    let mut memory = MemoryShare::new(MAX_BYTES);
    let taken = take_all(&mut memory, sender(1));
    memory.give_back(sender(1), taken);
    assert_eq!(memory.used_bytes(), 0);
    assert_eq!(take_all(&mut memory, sender(1)), taken);
    memory.give_back(sender(2), PART);
    assert_eq!(memory.used_bytes(), taken);
}
