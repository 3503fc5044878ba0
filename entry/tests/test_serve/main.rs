//! Tests of the serving thread against scripted upstreams.

#[cfg(test)]
mod support;

#[cfg(test)]
mod test_at_most_once;
#[cfg(test)]
mod test_broken_heads;
#[cfg(test)]
mod test_drain;
#[cfg(test)]
mod test_http2;
#[cfg(test)]
mod test_limits;
#[cfg(test)]
mod test_not_run;
#[cfg(test)]
mod test_paths;
#[cfg(test)]
mod test_plain;
#[cfg(test)]
mod test_queue;
#[cfg(test)]
mod test_streams;
