//! Which of the requests that wait at one upstream goes first.

/// How many urgencies the requests of one rank are spread over.
///
/// Where more come than are answered in time, a queue in order of arrival makes all of them
/// late: everybody waits as long as the queue is. Spread over bands, those of the first ones
/// pass the queue and are on time, and only the last ones wait. With many bands the last ones
/// wait until they are given up.
const BANDS: u8 = 4;
/// The lowest urgency that upstreams know.
const LAST: u8 = 9;

/// Returns the most urgent value of a rank, for what must not wait in a queue again.
pub fn most_urgent(rank: u8) -> u8 {
    rank.saturating_mul(BANDS).min(LAST + 1 - BANDS / 2)
}

/// Returns the urgency of a request, 0 first; `random` draws the band within its rank.
///
/// A lower rank goes before a higher one whatever is drawn. Which requests of one rank wait is
/// left to chance, so that no caller, team or size is behind the others for long.
pub fn urgency(rank: u8, random: u64) -> u8 {
    let first = most_urgent(rank);
    let bands = BANDS.min(LAST + 1 - first);
    // The remainder is less than the number of bands.
    let band = u8::try_from(random % u64::from(bands)).unwrap_or(0);
    first + band
}
