//! Which upstream gets a request, and how often one is sent again.

#![expect(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod test_crashes;
mod test_decisions;
mod test_load;

use cicadabend::routes::Timing;

/// Returns how long engines' work takes in these tests.
pub(crate) fn timing() -> Timing {
    Timing {
        step_ms: 6.0,
        per_request_ms: 0.25,
        read_tokens_per_s: 46_000.0,
        chunk_tokens: 2_048,
        steps_per_pass: 5,
        usual_prompt_tokens: 1_000.0,
        usual_answer_tokens: 120.0,
        ..Timing::default()
    }
}
