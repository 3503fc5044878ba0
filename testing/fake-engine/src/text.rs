//! Tokens that name their request, prompt and position.
//!
//! An answer that was crossed with another or spliced from two is visible in
//! its text alone, whatever ids a process between may have rewritten.

use xxhash_rust::xxh3::xxh3_64;

/// Returns the check of a prompt that each token of its answer carries.
pub fn prompt_check(prompt: &str) -> u32 {
    (xxh3_64(prompt.as_bytes()) & 0xffff_ffff) as u32
}

/// Returns the token at a position of the answer, with its trailing space.
pub fn token_text(request_id: &str, prompt_check: u32, position: u64) -> String {
    format!("{request_id}~{prompt_check:08x}~{position} ")
}

/// Returns the length of a prompt in tokens: one for each word.
pub fn prompt_tokens(prompt: &str) -> u64 {
    prompt.split_whitespace().count() as u64
}
