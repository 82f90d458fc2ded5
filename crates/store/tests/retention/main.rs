//! Records are kept for their retention time, whatever happened before: an idle time, a change of
//! leader, a restart of all stores, or wall clocks that differ.

mod commands;
mod group;
mod records;
mod soak;
mod wrong_clocks;
