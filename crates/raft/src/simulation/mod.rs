//! A seeded simulator of a whole group, with checks after every step.

mod broken_rule;

pub use broken_rule::BrokenRule;
