//! Client of the platform's list of vms. The list lags behind and shows live and leaving vms.

mod client;
mod wire;

pub use client::{VmListClient, VmListClientConfig};
pub use wire::{ListedState, ListedVm, VM_LIST_PATH, VmList};
