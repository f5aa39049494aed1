//! The bronzetack daemon.
