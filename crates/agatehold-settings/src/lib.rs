//! TBD.
