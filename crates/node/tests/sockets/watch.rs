//! What crosses on the watch of the list of workers, and while the configuration is read again.
