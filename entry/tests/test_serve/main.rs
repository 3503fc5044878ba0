//! Tests of the serving thread, against upstreams that play a script.

#[cfg(test)]
#[expect(
    dead_code,
    unused_imports,
    reason = "the tests of broken streams and cancels come next"
)]
mod support;

mod test_drain;
mod test_paths;
