//! A small cluster.
