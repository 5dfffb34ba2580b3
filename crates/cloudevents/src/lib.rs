//! cloudevents
