//! Callers that are refused at the same moment return to endpoints of a fixed capacity.

use pistachioyard_policy::spread_return_ms;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The time after which there should be room, in ms.
const ROOM_MS: u64 = 500;
/// The requests that the endpoints take in each span.
const CAPACITY: usize = 100;
const SPAN_MS: u64 = 250;

/// After a burst of three times the capacity, a third of which runs, those who return form no
/// second peak above the capacity.
#[test]
fn callers_that_were_refused_together_do_not_return_together() {
    for seed in 0..50 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut returning = [0_usize; 8];
        for _ in 0..2 * CAPACITY {
            let after = spread_return_ms(ROOM_MS, &mut rng);
            returning[(after / SPAN_MS) as usize] += 1;
        }
        let most = returning.iter().max().expect("there are spans");
        assert!(*most <= CAPACITY, "seed {seed}: {returning:?}");
    }
}
