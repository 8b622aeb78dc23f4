//! Client of the platform's interface for ordering targets by zone.

mod client;
mod wire;

pub use client::{OrderingClient, OrderingClientConfig};
pub use wire::{
    OrderAction, OrderResult, OrderedTarget, OrderedTargets, PlatformOrder, PlatformOrderAnswer,
    PlatformTargetState, paths,
};
