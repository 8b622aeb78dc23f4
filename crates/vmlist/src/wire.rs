//! JSON bodies of the vm list.

use jujubebeam_core::VmId;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// Path of the list.
pub const VM_LIST_PATH: &str = "/vms";

/// State of a vm as the platform sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ListedState {
    /// The vm runs.
    Live,
    /// The vm will be withdrawn.
    Leaving,
}

/// One vm.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// Number of the vm. Numbers are not reused.
    pub vm: VmId,
    /// Zone by name.
    pub zone: String,
    /// Address for callers.
    pub caller_address: String,
    /// Address for other vms.
    pub peer_address: String,
    /// State.
    pub state: ListedState,
}

/// The whole list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// All vms that the platform knows.
    pub vms: Vec<ListedVm>,
}
