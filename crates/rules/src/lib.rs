//! rules
