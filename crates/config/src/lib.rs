//! config
