//! JSON bodies of the vm list.

use jujubebeam_core::VmId;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// Path of the list.
pub const VM_LIST_PATH: &str = "/vms";

/// State of a vm as reported by the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ListedState {
    /// The vm is running.
    Live,
    /// The platform will withdraw the vm.
    Leaving,
}

/// One vm.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// Number of the vm. Numbers are never reused.
    pub vm: VmId,
    /// Name of the zone.
    pub zone: String,
    /// Address for callers.
    pub caller_address: String,
    /// Address for other vms.
    pub peer_address: String,
    /// Current state.
    pub state: ListedState,
}

/// List of vms.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// All vms that the platform lists.
    pub vms: Vec<ListedVm>,
}
