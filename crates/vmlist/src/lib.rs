//! Client of the platform's list of vms.
//!
//! The list is updated with a delay. It contains live and leaving vms.

mod client;
mod wire;

pub use client::{VmListClient, VmListClientConfig};
pub use wire::{ListedState, ListedVm, VM_LIST_PATH, VmList};
