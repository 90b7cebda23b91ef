//! Rates of client accounts across many entries.

pub mod spend_check;
