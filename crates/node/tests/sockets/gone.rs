//! Clients that have gone: from then on no attempt of theirs begins.
