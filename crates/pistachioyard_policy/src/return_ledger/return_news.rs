//! What entries tell each other of promised returns.

/// Tells of a booking: the key of the request, the times in ms until room is expected and until
/// the caller returns, how often it was booked anew, and whether the caller has come before it.
pub type ToldBooking = (u32, u32, u32, u8, bool);

/// The maximum number of bookings that are told at once.
pub const MAX_TOLD_BOOKINGS: usize = 64;

/// Holds what an entry tells its peers of the returns to one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReturnNews {
    /// The requests a second that it was lately asked for.
    pub asked: f64,
    /// The requests a second that it has lately admitted.
    pub admitted: f64,
    /// The number of returns that it has promised, by time span and urgency.
    pub promised: Vec<u16>,
    /// The newest bookings.
    pub bookings: Vec<ToldBooking>,
}
