//! Edits of a team's subtree, as requested on the command line.

use std::fmt;

use jujubebeam_core::settings::KeyHash;
use jujubebeam_core::settings::document::{
    ChangeMode, KeyDocument, KeyState, Priority, TeamDocument, WorkspaceDocument,
};

/// One edit.
#[derive(Clone, Debug, PartialEq)]
pub enum Edit {
    /// Creates a workspace.
    CreateWorkspace {
        /// Name of the workspace.
        workspace: String,
        /// Priority of its requests.
        priority: Priority,
        /// Relative share among workspaces of the same priority.
        weight: u32,
    },
    /// Changes the priority and weight of a workspace; fields that are `None` stay as they are.
    SetPriority {
        /// Name of the workspace.
        workspace: String,
        /// New priority.
        priority: Option<Priority>,
        /// New weight.
        weight: Option<u32>,
    },
    /// Deletes a workspace with its keys.
    DeleteWorkspace {
        /// Name of the workspace.
        workspace: String,
    },
    /// Adds a key.
    AddKey {
        /// Name of the workspace.
        workspace: String,
        /// Name of the key.
        key: String,
        /// Hash of the key.
        hash: KeyHash,
    },
    /// Withdraws a key.
    WithdrawKey {
        /// Name of the workspace.
        workspace: String,
        /// Name of the key.
        key: String,
    },
    /// Sets limits; fields that are `None` stay as they are.
    SetLimits {
        /// Name of the workspace.
        workspace: String,
        /// Requests per second.
        requests_per_s: Option<u64>,
        /// Tokens per minute.
        tokens_per_min: Option<u64>,
        /// Maximum number of concurrent requests.
        concurrent_requests: Option<u64>,
        /// Cost of use per day.
        budget_cents_per_day: Option<u64>,
        /// Maximum cost of bought capacity; 0 forbids buying.
        capacity_cents_per_hour: Option<u64>,
    },
    /// Sets the rule for planned changes.
    SetPlannedChange {
        /// Name of the workspace.
        workspace: String,
        /// How running requests are treated.
        mode: Option<ChangeMode>,
        /// Time after which a change that still waits is postponed.
        longest_wait_s: Option<u64>,
    },
}

/// Why an edit cannot be applied to the document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EditError {
    /// The workspace does not exist.
    UnknownWorkspace(String),
    /// The workspace exists already.
    WorkspaceExists(String),
    /// The key does not exist.
    UnknownKey(String),
    /// The key exists already.
    KeyExists(String),
}

impl fmt::Display for EditError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownWorkspace(name) => write!(
                f,
                "workspace {name:?} does not exist; create it with `jujubebeam workspace create`"
            ),
            Self::WorkspaceExists(name) => {
                write!(f, "workspace {name:?} exists already; use another name")
            }
            Self::UnknownKey(name) => write!(
                f,
                "key {name:?} does not exist; list keys with `jujubebeam workspace show`"
            ),
            Self::KeyExists(name) => write!(f, "key {name:?} exists already; use another name"),
        }
    }
}

impl std::error::Error for EditError {}

/// Applies an edit to a document.
pub fn apply(team: &mut TeamDocument, edit: Edit) -> Result<(), EditError> {
    match edit {
        Edit::CreateWorkspace {
            workspace,
            priority,
            weight,
        } => {
            if team.workspaces.iter().any(|w| w.name == workspace) {
                return Err(EditError::WorkspaceExists(workspace));
            }
            team.workspaces.push(WorkspaceDocument {
                name: workspace,
                priority,
                weight,
                ..WorkspaceDocument::default()
            });
        }
        Edit::SetPriority {
            workspace,
            priority,
            weight,
        } => {
            let found = find(team, workspace)?;
            set(&mut found.priority, priority);
            set(&mut found.weight, weight);
        }
        Edit::DeleteWorkspace { workspace } => {
            find(team, workspace.clone())?;
            team.workspaces.retain(|w| w.name != workspace);
        }
        Edit::AddKey {
            workspace,
            key,
            hash,
        } => add_key(find(team, workspace)?, key, hash)?,
        Edit::WithdrawKey { workspace, key } => withdraw_key(find(team, workspace)?, key)?,
        Edit::SetLimits {
            workspace,
            requests_per_s,
            tokens_per_min,
            concurrent_requests,
            budget_cents_per_day,
            capacity_cents_per_hour,
        } => {
            let found = find(team, workspace)?;
            set(&mut found.limits.requests_per_s, requests_per_s);
            set(&mut found.limits.tokens_per_min, tokens_per_min);
            set(&mut found.limits.concurrent_requests, concurrent_requests);
            set(&mut found.limits.budget_cents_per_day, budget_cents_per_day);
            if let Some(cents) = capacity_cents_per_hour {
                found.spending.capacity_cents_per_hour = cents;
                found.spending.buy_capacity = cents > 0;
            }
        }
        Edit::SetPlannedChange {
            workspace,
            mode,
            longest_wait_s,
        } => {
            let rule = &mut find(team, workspace)?.planned_change;
            set(&mut rule.mode, mode);
            set(&mut rule.longest_wait_s, longest_wait_s);
        }
    }
    Ok(())
}

fn find(team: &mut TeamDocument, name: String) -> Result<&mut WorkspaceDocument, EditError> {
    team.workspaces
        .iter_mut()
        .find(|w| w.name == name)
        .ok_or(EditError::UnknownWorkspace(name))
}

fn add_key(workspace: &mut WorkspaceDocument, key: String, hash: KeyHash) -> Result<(), EditError> {
    if workspace.keys.iter().any(|k| k.name == key) {
        return Err(EditError::KeyExists(key));
    }
    workspace.keys.push(KeyDocument {
        name: key,
        sha256: hash.to_hex(),
        state: KeyState::Active,
    });
    Ok(())
}

fn withdraw_key(workspace: &mut WorkspaceDocument, key: String) -> Result<(), EditError> {
    let found = workspace
        .keys
        .iter_mut()
        .find(|k| k.name == key)
        .ok_or(EditError::UnknownKey(key))?;
    found.state = KeyState::Withdrawn;
    Ok(())
}

fn set<T>(field: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *field = value;
    }
}
