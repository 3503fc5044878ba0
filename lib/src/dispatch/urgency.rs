//! The order of the requests that wait in an upstream's queue.

/// Number of urgency values over which the requests of one rank are spread.
///
/// If more requests arrive than can be answered in time, a queue in order of arrival makes all of
/// them late, since each waits for the whole queue. Spread over bands, requests of the first bands
/// overtake the queue and are on time, and only those of the last ones wait. With many bands, the
/// last ones would wait until their callers give up.
const BANDS: u8 = 4;
/// The value of the lowest urgency that upstreams support; 0 is the highest.
const LOWEST_URGENCY: u8 = 9;

/// Returns the most urgent value of a rank, for requests that must not wait in a queue again.
pub fn most_urgent(rank: u8) -> u8 {
    rank.saturating_mul(BANDS)
        .min(LOWEST_URGENCY + 1 - BANDS / 2)
}

/// Returns the urgency of a request, where 0 goes first; `random` picks the band within the rank.
///
/// A lower rank goes before a higher one in any band; ranks from 2 on share the last values. The
/// band is random so that no caller, team or request size is at a disadvantage for long.
pub fn urgency(rank: u8, random: u64) -> u8 {
    let first = most_urgent(rank);
    let bands = BANDS.min(LOWEST_URGENCY + 1 - first);
    // The remainder is less than the number of bands.
    let band = u8::try_from(random % u64::from(bands)).unwrap_or(0);
    first + band
}
