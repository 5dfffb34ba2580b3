//! Descriptors and memory at their limits: idle clients fill them, and the scheduler goes on serving.
