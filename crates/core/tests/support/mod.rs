//! Deterministic simulations for tests of the state machines.

#![allow(dead_code, reason = "each test file uses a part")]

pub(crate) mod change_history;
pub(crate) mod change_world;
pub(crate) mod network;
pub(crate) mod order_world;
pub(crate) mod receivers;
pub(crate) mod seeds;
pub(crate) mod store_model;
pub(crate) mod usage_world;
